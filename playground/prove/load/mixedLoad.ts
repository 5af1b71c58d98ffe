import { setTimeout as waitMs } from 'node:timers/promises'
import { v7 as createRequestId } from 'uuid'
import type { Random } from '../../../src/types/random.js'
import { buildCallerRequest } from '../../caller/buildCallerRequest.js'
import type { CallerBehaviour } from '../../caller/callerBehaviour.js'
import { CallerClient } from '../../caller/callerClient.js'
import type { RequestRecord } from '../../caller/requestRecord.js'
import type { ExampleDeployment } from '../../examples/exampleDeployment.js'
import type { WorkloadEntry } from '../../examples/workloadEntry.js'

interface LoadOptions {
  readonly example: ExampleDeployment
  readonly entryAddresses: readonly string[]
  readonly random: Random
  readonly requestsPerSecond: number
  readonly raceShare: number
  readonly behaviour: CallerBehaviour
  readonly silenceMs: number
}

/** Callers of each account. For the `raceShare` of the calls all of them send the same request at once. */
const callersPerAccount = 3

/** A mixed load with random arrivals that runs until it is stopped. */
export class MixedLoad {
  private readonly clients: ReadonlyMap<string, readonly CallerClient[]>
  private readonly pending: Promise<RequestRecord>[] = []
  private readonly stopping = new AbortController()
  private arrivals: Promise<void> = Promise.resolve()
  private sentCount = 0

  constructor (private readonly options: LoadOptions) {
    const { example, entryAddresses, random, behaviour, silenceMs } = options
    this.clients = new Map(example.accounts.map(({ account, token }) => [account, Array.from({ length: callersPerAccount }, () => {
      return new CallerClient({ account, token, entryAddresses, random, linkDelayMs: example.links.toClientsMs, silenceMs, behaviour })
    })]))
  }

  start (): void {
    this.arrivals = this.runArrivals()
  }

  /** Ends the arrivals and resolves with the records of all requests. */
  async stop (): Promise<readonly RequestRecord[]> {
    this.stopping.abort()
    await this.arrivals
    const records = await Promise.all(this.pending)
    await Promise.all([...this.clients.values()].flat().map(client => client.close()))
    return records
  }

  private async runArrivals (): Promise<void> {
    const { random, requestsPerSecond } = this.options
    while (!this.stopping.signal.aborted) {
      this.sendOne()
      await waitMs(-Math.log(1 - random()) * 1000 / requestsPerSecond, undefined, { signal: this.stopping.signal }).catch(() => {})
    }
  }

  private sendOne (): void {
    const { example, random, raceShare } = this.options
    const total = example.workload.reduce((sum, entry) => sum + entry.weight, 0)
    const entry = this.sentCount < example.workload.length ? example.workload[this.sentCount] : chooseByWeight(example.workload, random() * total)
    const kind = example.contracts.find(contract => contract.account === entry?.account)?.kinds[entry?.kind ?? '']
    const clients = this.clients.get(entry?.account ?? '')
    if (!entry || !kind || !clients) return
    const request = buildCallerRequest(entry, kind, this.sentCount++, random)
    const isRace = !kind.idempotent && random() < raceShare
    const requestId = createRequestId()
    if (isRace) this.pending.push(...clients.map(client => client.sendRequest({ ...request, requestId, maxRetries: 0 })))
    else this.pending.push(clients[this.sentCount % clients.length]!.sendRequest(request))
  }
}

function chooseByWeight (workload: readonly WorkloadEntry[], position: number): WorkloadEntry | undefined {
  let cumulativeWeight = 0
  return workload.find(entry => (cumulativeWeight += entry.weight) > position) ?? workload[0]
}
