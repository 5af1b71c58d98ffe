import { cliConstants } from '../constants.js'
import { clientOptions } from '../clientOptions.js'
import { createAdministrationClient } from '../createAdministrationClient.js'
import { parseTimeout } from '../parseTimeout.js'
import { resolveClient } from '../resolveClient.js'
import { ServerUnreachableError } from '../serverUnreachableError.js'
import { validateTimeout } from '../validateTimeout.js'
import type { Command } from '../command.js'
import type { CommandContext } from '../commandContext.js'

/** `drain`: starts the planned stop of one host. */
export const drain: Command = {
  usage: 'drain',
  description: 'Starts the planned stop of the host at --server; no running request is cut off',
  options: [
    ...clientOptions,
    { flag: 'wait', type: 'switch', description: 'Wait until the host has stopped' },
    { flag: 'timeout-ms', type: 'text', description: 'Maximum wait', defaultText: String(cliConstants.drainTimeoutMs) }
  ],
  example: 'drain --wait --server 192.0.2.7:7100',
  validate: context => [...resolveClient(context).faults, ...validateTimeout(context)],
  run: async context => {
    const { flags, dependencies } = context
    const response = await createAdministrationClient(context).drain()
    dependencies.writeOutput(`drain started${typeof response.state === 'string' ? `, host is ${response.state}` : ''}`)
    if (flags.wait !== true) return cliConstants.exitStatus.success
    return await waitUntilStopped(context)
  }
}

/** Repeats the drain call, which has no further effect, until nothing answers at the host's address any more. */
async function waitUntilStopped (context: CommandContext): Promise<number> {
  const { flags, dependencies } = context
  const client = createAdministrationClient(context)
  const timeoutMs = parseTimeout(flags['timeout-ms'], cliConstants.drainTimeoutMs)!
  for (let waitedMs = 0; waitedMs < timeoutMs; waitedMs += cliConstants.statusPollMs) {
    await dependencies.wait(cliConstants.statusPollMs)
    try {
      await client.drain()
    } catch (error) {
      if (!(error instanceof ServerUnreachableError)) throw error
      dependencies.writeOutput('host has stopped')
      return cliConstants.exitStatus.success
    }
  }
  dependencies.writeError(`error: the host still answers after ${timeoutMs} ms`)
  return cliConstants.exitStatus.failure
}
