import { setTimeout as waitMs } from 'node:timers/promises'
import type { Random } from '../../src/types/random.js'
import { buildCallerRequest } from '../caller/buildCallerRequest.js'
import { CallerClient } from '../caller/callerClient.js'
import type { RequestRecord } from '../caller/requestRecord.js'
import type { ExampleDeployment } from '../examples/exampleDeployment.js'
import { chooseEntries } from './chooseEntries.js'
import { demoConstants } from './constants.js'

interface LoadOptions {
  readonly example: ExampleDeployment
  readonly entryAddresses: readonly string[]
  readonly requests: number
  readonly random: Random
  readonly onRecord: (record: RequestRecord) => void
}

/** Sends a mixed load with random arrivals, by one client per account. */
export async function runLoad (options: LoadOptions): Promise<readonly RequestRecord[]> {
  const { example, entryAddresses, requests, random, onRecord } = options
  const clients = new Map(example.accounts.map(({ account, token }) => {
    return [account, new CallerClient({ account, token, entryAddresses, random, linkDelayMs: example.links.toClientsMs })]
  }))
  const meanGapMs = Math.min(demoConstants.maxMeanGapMs, demoConstants.arrivalPeriodMs / requests)
  const pending: Promise<RequestRecord>[] = []
  for (const [index, entry] of chooseEntries(example.workload, requests, random).entries()) {
    const kind = example.contracts.find(contract => contract.account === entry.account)?.kinds[entry.kind]
    const client = clients.get(entry.account)
    // Skips entries of a kind that the account's contract lacks and of accounts without a client.
    if (!kind || !client) continue
    pending.push(client.sendRequest(buildCallerRequest(entry, kind, index, random)).then(record => { onRecord(record); return record }))
    await waitMs(-Math.log(1 - random()) * meanGapMs)
  }
  const records = await Promise.all(pending)
  await Promise.all([...clients.values()].map(client => client.close()))
  return records
}
