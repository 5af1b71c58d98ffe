import { UsageError } from './usageError.js'
import type { Command } from './command.js'

/** Finds the subcommand named by the leading words. Throws `UsageError` when there is none. */
export function findCommand (commands: readonly Command[], words: readonly string[]): Command {
  const found = commands.find(command => {
    const names = command.usage.split(' ').filter(word => /^\w/.test(word))
    return names.every((name, i) => words[i] === name)
  })
  if (found !== undefined) return found
  const listed = commands.map(command => command.usage.split(/ [<[]/)[0]!)
  const first = words[0]
  if (first === undefined || first.startsWith('-')) throw new UsageError([`no command given; commands: ${listed.join(', ')}`])
  const group = listed.filter(name => name.startsWith(`${first} `))
  if (group.length === 0) throw new UsageError([`unknown command "${first}"; commands: ${listed.join(', ')}`])
  throw new UsageError([`unknown command "${words.slice(0, 2).join(' ')}"; commands: ${group.join(', ')}`])
}
