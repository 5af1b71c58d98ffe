import sade from 'sade'

declare const __VERSION__: string

/** Parses the command line and runs the chosen subcommand. */
export function runCommandLine (argv: string[]): void {
  const program = sade('lycheetrack')
  program.version(__VERSION__)
  program.parse(argv)
}
