import { FileUnreadableError } from './fileUnreadableError.js'
import { LycheetrackError } from '../../shared/lycheetrackError.js'
import { UsageError } from './usageError.js'
import type { CommandLineDependencies } from './commandLineDependencies.js'
import type { Contract } from '../../types/contract.js'

/**
 * Reads a JSON file with one contract or a list of contracts. Rejects with `FileUnreadableError`, or
 * with a `UsageError` that lists the faults of all its contracts.
 */
export async function readContractFile (path: string, dependencies: CommandLineDependencies): Promise<readonly Contract[]> {
  const value = await readJson(path, dependencies)
  const contracts: Contract[] = []
  const faults: string[] = []
  for (const [i, item] of (Array.isArray(value) ? value : [value]).entries()) {
    try {
      const contract = dependencies.parseContract(item)
      if (contracts.some(other => other.account === contract.account)) faults.push(`${path}: account ${contract.account} has two contracts`)
      contracts.push(contract)
    } catch (error) {
      if (!(error instanceof LycheetrackError)) throw error
      faults.push(...listFaults(error).map(fault => `${path}: contract ${formatContractName(item, i)}: ${fault}`))
    }
  }
  if (faults.length > 0) throw new UsageError(faults)
  return contracts
}

/** An error of the contract validation carries a list of faults with their paths. */
function listFaults (error: LycheetrackError): readonly string[] {
  const { faults } = error as { faults?: ReadonlyArray<{ readonly path: string, readonly message: string }> }
  return faults?.map(fault => `${fault.path} ${fault.message}`) ?? [error.message]
}

async function readJson (path: string, dependencies: CommandLineDependencies): Promise<unknown> {
  try {
    return JSON.parse(await dependencies.readTextFile(path))
  } catch (error) {
    throw new FileUnreadableError(`${path}: ${(error as Error).message}`, { cause: error })
  }
}

function formatContractName (item: unknown, index: number): string {
  const account = (item as { account?: unknown } | null)?.account
  return typeof account === 'string' ? account : `number ${index + 1}`
}
