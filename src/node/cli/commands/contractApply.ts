import { cliConstants } from '../constants.js'
import { clientOptions } from '../clientOptions.js'
import { createAdministrationClient } from '../createAdministrationClient.js'
import { isSameContract } from '../isSameContract.js'
import { LycheetrackError } from '../../../shared/lycheetrackError.js'
import { parseTimeout } from '../parseTimeout.js'
import { readContractFile } from '../readContractFile.js'
import { resolveClient } from '../resolveClient.js'
import { ServerResponseError } from '../serverResponseError.js'
import { validateTimeout } from '../validateTimeout.js'
import { waitUntilInForce } from '../waitUntilInForce.js'
import type { AdministrationClient } from '../administrationClient.js'
import type { Command } from '../command.js'
import type { CommandLineDependencies } from '../commandLineDependencies.js'
import type { Contract } from '../../../types/contract.js'

/** `contract apply`: writes new revisions of the contracts of a file. */
export const contractApply: Command = {
  usage: 'contract apply <file>',
  description: 'Applies the contract, or the list of contracts, in a JSON file',
  options: [
    ...clientOptions,
    { flag: 'wait', type: 'switch', description: 'Wait until the contracts are in force on every live host' },
    { flag: 'timeout-ms', type: 'text', description: 'Maximum wait for each contract', defaultText: String(cliConstants.applyTimeoutMs) }
  ],
  example: 'contract apply pier.json --wait --server 192.0.2.7:7100',
  validate: context => [...resolveClient(context).faults, ...validateTimeout(context)],
  run: async context => {
    const { positional, flags, dependencies } = context
    const contracts = await readContractFile(positional[0]!, dependencies)
    const client = createAdministrationClient(context)
    let status: number = cliConstants.exitStatus.success
    for (const contract of contracts) {
      const revision = await applyContract(client, contract, dependencies)
      const timeoutMs = parseTimeout(flags['timeout-ms'], cliConstants.applyTimeoutMs)!
      const isDone = revision !== undefined &&
        (flags.wait !== true || await waitUntilInForce(client, contract.account, revision, timeoutMs, dependencies))
      if (!isDone) status = cliConstants.exitStatus.failure
    }
    return status
  }
}

/** Resolves with the accepted or unchanged revision; undefined when the contract was refused, so that the other contracts of the file are still applied. */
async function applyContract (client: AdministrationClient, contract: Contract, dependencies: CommandLineDependencies): Promise<number | undefined> {
  const { account } = contract
  const before = await client.findContract(account)
  if (before !== undefined && isSameContract(before.contract, contract)) {
    dependencies.writeOutput(`${account}: unchanged at revision ${before.revision}`)
    return before.revision
  }
  try {
    const revision = await client.applyContract(contract, before?.revision ?? 0)
    dependencies.writeOutput(`${account}: accepted revision ${revision}`)
    return revision
  } catch (error) {
    if (!(error instanceof LycheetrackError)) throw error
    if (!isRejected(error)) return await checkUncertainApply(client, contract, before?.revision ?? 0, error, dependencies)
    const hint = error.code === 'revision_conflict' ? '; another change was accepted in the meantime: review it with "contract diff", then apply again' : ''
    dependencies.writeError(`error: ${account}: ${error.code}: ${error.message}${hint}`)
    return undefined
  }
}

/** Whether the error means that the change was certainly not accepted. */
function isRejected (error: LycheetrackError): boolean {
  return error instanceof ServerResponseError && !cliConstants.uncertainErrorCodes.includes(error.code)
}

/** Reads the contract back after a lost response, because the change may have been accepted. */
async function checkUncertainApply (client: AdministrationClient, contract: Contract, before: number, error: LycheetrackError, dependencies: CommandLineDependencies): Promise<number | undefined> {
  const after = await client.findContract(contract.account).catch(() => undefined)
  if (after !== undefined && after.revision > before && isSameContract(after.contract, contract)) {
    dependencies.writeOutput(`${contract.account}: accepted revision ${after.revision} (the response was lost, the contract was read back)`)
    return after.revision
  }
  dependencies.writeError(`error: ${contract.account}: ${error.message}; whether the change was accepted is unknown: check with "contract diff"`)
  return undefined
}
