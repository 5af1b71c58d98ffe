import { z } from 'zod'
import type { FaultState } from '../server/faultState.js'
import type { StandInCall } from '../server/standInCall.js'
import type { StandInHandler } from '../server/standInHandler.js'

const maxLagMs = 60_000
const hostsBody = z.object({
  hosts: z.array(z.object({
    id: z.string(),
    address: z.string(),
    peerAddress: z.string().optional(),
    role: z.string(),
    failureDomain: z.string(),
    state: z.enum(['live', 'leaving'])
  }))
})

type Hosts = z.infer<typeof hostsBody>['hosts']

/** Stands in for the host list of the platform: `PUT /hosts` replaces the list, `GET /hosts` returns the one of `lagMs` ago. */
export class HostListHandler implements StandInHandler {
  private versions: { readonly atMs: number, readonly hosts: Hosts }[] = []

  constructor (private readonly options: { readonly lagMs: number }, private readonly faults: FaultState) {}

  handleCall (call: StandInCall): Promise<void> {
    if (call.path !== '/hosts') return call.sendJson(404, { error: `no end point ${call.path}` })
    const nowMs = performance.now()
    if (call.method === 'GET') return call.sendJson(200, { hosts: this.findVersion(nowMs) })
    this.addVersion(call.parseBody(hostsBody).hosts, nowMs)
    return call.sendJson(200, {})
  }

  // The first list is served without a lag, because an empty list would mean a platform without hosts.
  private findVersion (nowMs: number): Hosts {
    const lagMs = this.faults.settings.lagMs ?? this.options.lagMs
    return (this.versions.findLast(version => version.atMs <= nowMs - lagMs) ?? this.versions[0])?.hosts ?? []
  }

  private addVersion (hosts: Hosts, nowMs: number): void {
    const firstKept = this.versions.findLastIndex(version => version.atMs <= nowMs - maxLagMs)
    this.versions = [...this.versions.slice(Math.max(0, firstKept)), { atMs: nowMs, hosts }]
  }
}
