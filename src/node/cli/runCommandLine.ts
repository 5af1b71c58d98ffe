import { cliConstants } from './constants.js'
import { computeExitStatus } from './computeExitStatus.js'
import { createProgram } from './createProgram.js'
import { findCommand } from './findCommand.js'
import { listCommands } from './listCommands.js'
import { LycheetrackError } from '../../shared/lycheetrackError.js'
import { parseArguments } from './parseArguments.js'
import { UsageError } from './usageError.js'
import { validateArguments } from './validateArguments.js'
import type { Command } from './command.js'
import type { CommandContext } from './commandContext.js'
import type { CommandLineDependencies } from './commandLineDependencies.js'

const { exitStatus } = cliConstants
const helpFlags = ['--help', '-h', '--version', '-v']

/**
 * Runs the subcommand that `argv` names (`argv` as in `process.argv`). Resolves with the exit status:
 * 0 for success, 1 for a failure, 2 for an invalid command line or invalid settings, 70 after too many unexpected errors.
 */
export async function runCommandLine (argv: readonly string[], dependencies: CommandLineDependencies): Promise<number> {
  try {
    return await runCommand(argv, dependencies)
  } catch (error) {
    if (!(error instanceof LycheetrackError)) return reportSystemError(error, dependencies)
    const status = computeExitStatus(error)
    for (const line of error.message.split('\n')) dependencies.writeError(`error: ${line}`)
    if (status !== exitStatus.usage) dependencies.writeError(`code: ${error.code}`)
    return status
  }
}

/** Reports errors of the operating system, such as an address in use, without a stack trace. */
function reportSystemError (error: unknown, dependencies: CommandLineDependencies): number {
  if (!(error instanceof Error) || !('syscall' in error)) throw error
  dependencies.writeError(`error: ${error.message}`)
  return exitStatus.failure
}

async function runCommand (argv: readonly string[], dependencies: CommandLineDependencies): Promise<number> {
  const commands = listCommands()
  const words = argv.slice(2)
  if (isGroup(commands, words)) return reportHelp(commands, [...argv, '--help'], dependencies)
  if (words.some(word => helpFlags.includes(word))) return reportHelp(commands, argv, dependencies)
  const command = findCommand(commands, words)
  const { positional, flags } = parseArguments(command, argv, dependencies.version)
  const context: CommandContext = { positional, flags: flags as CommandContext['flags'], dependencies }
  const faults = [...validateArguments(command, positional, flags), ...command.validate(context)]
  if (faults.length > 0) throw new UsageError(faults)
  return await command.run(context)
}

/** Prints the help or the version, which sade does while it parses the arguments. */
function reportHelp (commands: readonly Command[], argv: readonly string[], dependencies: CommandLineDependencies): number {
  createProgram(commands, dependencies.version, false).parse([...argv])
  return exitStatus.success
}

/** Whether the command line consists of the name of a command group alone, such as `contract`. */
function isGroup (commands: readonly Command[], words: readonly string[]): boolean {
  return words.length === 1 && commands.some(command => command.usage.startsWith(`${words[0]} `) && /^\w+ \w/.test(command.usage))
}
