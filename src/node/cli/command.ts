import type { CommandContext } from './commandContext.js'
import type { CommandOption } from './commandOption.js'

/** A subcommand of the program. */
export interface Command {
  /** Words and arguments, e.g. `contract apply <file>`; `<x>` is required, `[x]` optional, `[x...]` a list. */
  readonly usage: string
  readonly description: string
  readonly options: readonly CommandOption[]
  /** Example command line for the help, without the program name. */
  readonly example: string
  /** Returns the faults of flags and variables, beyond the checks that every command line passes through. */
  validate (context: CommandContext): readonly string[]
  /**
   * Runs with valid flags. Resolves with the exit status. Rejects with a `LycheetrackError`, which gives exit
   * status 1 (2 for `UsageError` and `SettingsError`).
   */
  run (context: CommandContext): Promise<number>
}
