import { createProgram } from './createProgram.js'
import type { Command } from './command.js'

interface ParsedArguments {
  readonly positional: readonly string[]
  readonly flags: Readonly<Record<string, unknown>>
}

/** Parses the arguments of a subcommand; flags stay as given, with their values as text. */
export function parseArguments (command: Command, argv: readonly string[], version: string): ParsedArguments {
  const listFlags = (type: string) => command.options.filter(option => option.type === type).map(option => option.flag)
  const options = { lazy: true as const, string: listFlags('text'), boolean: listFlags('switch') }
  const { args } = createProgram([command], version, true).parse([...argv], options)!
  const { _: rest, ...flags } = args.at(-1) as unknown as { _: string[], [flag: string]: unknown }
  return {
    positional: [...args.slice(0, -1), ...rest].filter(argument => argument !== undefined).map(String),
    flags: Object.fromEntries(Object.entries(flags).filter(([, value]) => value !== undefined))
  }
}
