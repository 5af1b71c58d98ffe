import { cliConstants } from '../constants.js'
import { clientOptions } from '../clientOptions.js'
import { createAdministrationClient } from '../createAdministrationClient.js'
import { parseTimeout } from '../parseTimeout.js'
import { resolveClient } from '../resolveClient.js'
import { validateTimeout } from '../validateTimeout.js'
import { waitUntilInForce } from '../waitUntilInForce.js'
import type { Command } from '../command.js'

/** `contract delete`: deletes the contract of one account. */
export const contractDelete: Command = {
  usage: 'contract delete <account>',
  description: 'Deletes the contract of an account; its requests are refused from then on',
  options: [
    ...clientOptions,
    { flag: 'wait', type: 'switch', description: 'Wait until the deletion is in force on every live host' },
    { flag: 'timeout-ms', type: 'text', description: 'Maximum wait', defaultText: String(cliConstants.applyTimeoutMs) }
  ],
  example: 'contract delete pier --wait --server 192.0.2.7:7100',
  validate: context => [...resolveClient(context).faults, ...validateTimeout(context)],
  run: async context => {
    const { positional, flags, dependencies } = context
    const account = positional[0]!
    const client = createAdministrationClient(context)
    const before = await client.findContract(account)
    if (before === undefined || before.contract === null) {
      dependencies.writeError(`error: account ${account} has no contract`)
      return cliConstants.exitStatus.failure
    }
    const revision = await client.removeContract(account, before.revision)
    dependencies.writeOutput(`${account}: accepted revision ${revision} (deleted)`)
    if (flags.wait !== true) return cliConstants.exitStatus.success
    const timeoutMs = parseTimeout(flags['timeout-ms'], cliConstants.applyTimeoutMs)!
    const isDone = await waitUntilInForce(client, account, revision, timeoutMs, dependencies)
    return isDone ? cliConstants.exitStatus.success : cliConstants.exitStatus.failure
  }
}
