import { buildBurnReport } from './buildBurnReport.js'
import { burnConstants } from './constants.js'
import { BurnLedger } from './burnLedger.js'
import { LycheetrackError } from '../../shared/lycheetrackError.js'
import { mergeBurnSnapshots } from './mergeBurnSnapshots.js'
import { parseBurnSnapshot } from './parseBurnSnapshot.js'
import { peerMethods } from '../peers/peerMethods.js'
import type { BurnReport } from './burnReport.js'
import type { BurnReporterOptions } from './burnReporterOptions.js'
import type { BurnSnapshot } from './burnSnapshot.js'
import type { HostRecord } from '../../types/hostRecord.js'
import type { Objective } from '../../types/objective.js'
import type { RequestSample } from '../../types/requestSample.js'

/** Counts the requests of this host, serves its counters to peers and builds the burn report of all live hosts. */
export class BurnReporter {
  private readonly ledger = new BurnLedger()

  constructor (private readonly options: BurnReporterOptions) {
    options.transport.handle(peerMethods.burn, () => ({ report: JSON.stringify(this.createSnapshot()) }))
  }

  observe (sample: RequestSample): void {
    this.ledger.observe(sample)
  }

  /** Builds the burn report of all live hosts. A host that does not answer does not fail the report; it is listed in it. */
  async readReport (): Promise<BurnReport> {
    const selfId = this.options.membership.getSelf().id
    const pendingHosts = this.options.membership.listHosts().filter(host => host.id !== selfId)
    const missing: string[] = []
    let merged = this.createSnapshot()
    const readPendingHosts = async (): Promise<void> => {
      for (let host = pendingHosts.pop(); host !== undefined; host = pendingHosts.pop()) {
        const snapshot = await this.readPeer(host)
        if (snapshot === undefined) missing.push(host.id)
        else merged = mergeBurnSnapshots([merged, snapshot])
      }
    }
    // The limit on concurrent calls bounds the memory for responses, which may be 1 MB each.
    await Promise.all(Array.from({ length: burnConstants.maximumConcurrentPeerCalls }, readPendingHosts))
    return buildBurnReport(merged, missing.sort())
  }

  private async readPeer (host: HostRecord): Promise<BurnSnapshot | undefined> {
    const { transport, logger, peerTimeoutMs = burnConstants.peerTimeoutMs } = this.options
    try {
      const { report } = await transport.send(host.peerAddress, peerMethods.burn, {}, peerTimeoutMs)
      return parseBurnSnapshot(report ?? '')
    } catch (error) {
      if (!(error instanceof LycheetrackError)) throw error
      logger.recordWarning('peer returned no burn counters', { peer: host.id, code: error.code, reason: error.message })
      return undefined
    }
  }

  private createSnapshot (): BurnSnapshot {
    const { clock, membership } = this.options
    return this.ledger.createSnapshot(membership.getSelf().id, (account, kind) => this.findObjective(account, kind), clock.readWallMs())
  }

  private findObjective (account: string, kind: string): Objective | undefined {
    const kinds = this.options.contracts.find(account)?.contract?.kinds ?? {}
    return Object.hasOwn(kinds, kind) ? kinds[kind]!.objective : undefined
  }
}
