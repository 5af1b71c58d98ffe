/** A flag of a subcommand. */
export interface CommandOption {
  /** Without the leading hyphens. */
  readonly flag: string
  readonly description: string
  /** A switch has no value. */
  readonly type: 'text' | 'switch'
  /** Shown in the help. */
  readonly defaultText?: string
}
