import type { Command } from './command.js'

/** Returns the faults of the parsed arguments and flags of a subcommand: unknown, repeated and empty flags, missing and surplus arguments. */
export function validateArguments (command: Command, positional: readonly string[], flags: Readonly<Record<string, unknown>>): readonly string[] {
  const faults: string[] = []
  const options = new Map(command.options.map(option => [option.flag, option]))
  for (const [flag, value] of Object.entries(flags)) {
    const option = options.get(flag)
    if (option === undefined) faults.push(`unknown flag ${flag.length === 1 ? '-' : '--'}${flag}`)
    else if (Array.isArray(value)) faults.push(`--${flag} is given ${value.length} times`)
    else if (option.type === 'text' && (value === '' || typeof value === 'boolean')) faults.push(`--${flag} needs a value`)
  }
  const required = command.usage.match(/<[^>]+>/g) ?? []
  const optional = command.usage.match(/\[[^\]]+\]/g) ?? []
  for (const argument of required.slice(positional.length)) faults.push(`argument ${argument} is missing`)
  if (optional.some(argument => argument.endsWith('...]'))) return faults
  for (const surplus of positional.slice(required.length + optional.length)) faults.push(`surplus argument "${surplus}"`)
  return faults
}
