import type { CommandLineDependencies } from './commandLineDependencies.js'

/** Arguments, flags and dependencies of one call of a subcommand. */
export interface CommandContext {
  readonly positional: readonly string[]
  /** Parsed flags by name; flags that were not given are undefined. */
  readonly flags: Readonly<Record<string, string | boolean | undefined>>
  readonly dependencies: CommandLineDependencies
}
