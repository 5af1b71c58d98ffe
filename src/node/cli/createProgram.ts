import sade from 'sade'
import type { Command } from './command.js'

/** Builds the sade program. `areArgumentsOptional` keeps sade from rejecting missing arguments, so that `validateArguments` reports them. */
export function createProgram (commands: readonly Command[], version: string, areArgumentsOptional: boolean): sade.Sade {
  const program = sade('lycheetrack')
  program.version(version)
  for (const group of listGroups(commands)) {
    const members = commands.filter(command => command.usage.startsWith(`${group} `))
    const lines = members.map(command => `  ${command.usage}: ${command.description}`)
    program.command(group, [`Commands for a ${group}; each one has a --help of its own:`, ...lines] as never)
    program.example(members[0]!.example)
  }
  for (const command of commands) {
    program.command(areArgumentsOptional ? command.usage.replaceAll('<', '[').replaceAll('>', ']') : command.usage, command.description)
    for (const option of command.options) {
      const fallback = option.defaultText === undefined ? '' : ` (default: ${option.defaultText})`
      program.option(`--${option.flag}`, option.description + fallback)
    }
    program.example(command.example)
  }
  return program
}

function listGroups (commands: readonly Command[]): readonly string[] {
  const words = commands.map(command => command.usage.split(' '))
  return [...new Set(words.filter(([, second]) => second !== undefined && /^\w/.test(second)).map(([first]) => first!))]
}
