import { cliConstants } from './constants.js'
import type { AdministrationClient } from './administrationClient.js'
import type { CommandLineDependencies } from './commandLineDependencies.js'

/**
 * Prints on how many hosts the contract is in force, each time that number changes, until every live host has
 * `revision` or a newer one. Resolves with false if that takes longer than `timeoutMs`.
 */
export async function waitUntilInForce (client: AdministrationClient, account: string, revision: number, timeoutMs: number, dependencies: CommandLineDependencies): Promise<boolean> {
  let reported = ''
  for (let waitedMs = 0; waitedMs <= timeoutMs; waitedMs += cliConstants.statusPollMs) {
    const status = await client.readStatus(account)
    const line = `${account}: in force on ${status.inForce} of ${status.hosts} hosts`
    if (line !== reported) dependencies.writeOutput(line)
    reported = line
    if (status.accepted >= revision && status.hosts > 0 && status.inForce >= status.hosts) return true
    await dependencies.wait(cliConstants.statusPollMs)
  }
  dependencies.writeError(`error: ${account}: revision ${revision} is not in force everywhere after ${timeoutMs} ms; see "lycheetrack contract status ${account}"`)
  return false
}
