import type { CommandLineDependencies } from './commandLineDependencies.js'

/** What a subcommand is called with. */
export interface CommandContext {
  readonly positional: readonly string[]
  /** Parsed flags by name; texts and switches that were not given are undefined. */
  readonly flags: Readonly<Record<string, string | boolean | undefined>>
  readonly dependencies: CommandLineDependencies
}
