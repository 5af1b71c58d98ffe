import { setTimeout as waitMs } from 'node:timers/promises'
import { createSeededRandom } from '../../../src/shared/createSeededRandom.js'
import { hashText } from '../../../src/shared/hashText.js'
import type { Random } from '../../../src/types/random.js'
import { exampleDeployments } from '../../examples/exampleDeployments.js'
import type { ExampleDeployment } from '../../examples/exampleDeployment.js'
import { createDeployment } from '../../processes/createDeployment.js'
import type { Deployment } from '../../processes/deployment.js'
import type { EntryHostProcess } from '../../processes/entryHostProcess.js'
import { proveConstants } from '../constants.js'
import { checkHistory } from '../history/checkHistory.js'
import type { LeavingUpstream } from '../history/leavingUpstream.js'
import type { Violation } from '../history/violation.js'
import { SilencingProxy } from '../links/silencingProxy.js'
import { UncheckedKeyValueProxy } from '../links/uncheckedKeyValueProxy.js'
import { buildProofExample } from '../load/buildProofExample.js'
import { MixedLoad } from '../load/mixedLoad.js'
import { Operators } from '../operators/operators.js'
import type { Scenario } from '../scenario.js'
import type { ScenarioResult } from '../scenarioResult.js'
import { buildRequestHistories } from './buildRequestHistories.js'
import { countErrors } from './countErrors.js'
import { checkExpectations } from './checkExpectations.js'
import type { ProofContext } from './proofContext.js'
import { readExecutions } from './readExecutions.js'

/** One run of a scenario: a deployment under load, the faults injected so far, and what was recorded. */
export class ProofRun {
  readonly random: Random
  private readonly loadRandom: Random
  readonly example: ExampleDeployment
  readonly deployment: Deployment
  readonly operators: Operators
  /** Proxies by link: `peer <host>` or `caller <host>`. */
  readonly linkProxies = new Map<string, SilencingProxy>()
  private readonly faultLog: string[] = []
  private readonly hostsWithFault = new Set<string>()
  private readonly leavingUpstreams: LeavingUpstream[] = []
  private readonly uncheckedProxies: UncheckedKeyValueProxy[] = []
  private readonly violations: Violation[] = []
  private load: MixedLoad | undefined
  private startedAtMs = 0

  constructor (private readonly scenario: Scenario, private readonly context: ProofContext) {
    // The load has a random generator of its own, so that its timing does not change which faults are injected.
    this.random = createSeededRandom(hashText(`${scenario.name} faults ${context.seed}`))
    this.loadRandom = createSeededRandom(hashText(`${scenario.name} load ${context.seed}`))
    this.example = buildProofExample(exampleDeployments.ferry as ExampleDeployment, scenario)
    this.deployment = createDeployment({
      example: this.example,
      distDirectory: context.distDirectory,
      grouping: scenario.grouping,
      writesExecutionLogs: true,
      hostEnvironment: scenario.routeLifetimeMs === undefined ? {} : { LYCHEETRACK_ROUTE_LIFETIME_MS: String(scenario.routeLifetimeMs) },
      openLink: (kind, id, address) => this.openLink(kind, id, address)
    })
    this.operators = new Operators(this.example, () => this.deployment.entryHosts)
  }

  get hosts (): readonly EntryHostProcess[] {
    return this.deployment.entryHosts
  }

  /** Whether `--without` disables the mechanism. */
  isMechanismDisabled (mechanism: string): boolean {
    return this.context.disabledMechanisms.has(mechanism)
  }

  async start (): Promise<void> {
    await this.deployment.start()
    this.startedAtMs = Date.now()
    this.operators.start()
    const { requestsPerSecond = proveConstants.requestsPerSecond, raceShare = 0 } = this.scenario
    this.load = new MixedLoad({
      example: this.example,
      entryAddresses: this.hosts.map(host => host.advertise),
      random: this.loadRandom,
      requestsPerSecond,
      raceShare,
      silenceMs: this.isMechanismDisabled('silence-detection') ? 600_000 : proveConstants.silenceMs,
      behaviour: { graceMs: proveConstants.graceMs, rejoins: !this.isMechanismDisabled('rejoin'), retriesUnknownWithNewId: this.isMechanismDisabled('same-id') }
    })
    this.load.start()
  }

  /** Stops the load and checks the recorded history. */
  async checkRun (): Promise<ScenarioResult> {
    const records = await this.load?.stop() ?? []
    await this.operators.stop()
    const executions = await readExecutions(this.deployment)
    const { changes, revisions, inForceExpectations } = this.operators
    const historyViolations = checkHistory({
      requests: records.flatMap(record => buildRequestHistories(record, this.example)),
      executions,
      leavingUpstreams: this.leavingUpstreams,
      changes,
      revisions,
      inForceExpectations
    })
    const expectationViolations = checkExpectations(this.scenario, records, record => this.isIdempotent(record.account, record.kind))
    return {
      requests: records.length,
      faults: this.faultLog,
      whole: records.filter(record => record.outcome === 'whole').length,
      refused: records.filter(record => record.outcome === 'refused').length,
      unknown: records.filter(record => record.outcome === 'failed' || record.outcome === 'abandoned').length,
      errorCounts: countErrors(records),
      violations: [...historyViolations, ...expectationViolations, ...this.violations].map(violation => ({ ...violation, trace: [...violation.trace, ...this.listFaults()] }))
    }
  }

  /** Stops all processes; may be called at any time. */
  async stop (): Promise<void> {
    for (const link of [...this.linkProxies.values(), ...this.uncheckedProxies]) link.stop()
    await this.deployment.stop(proveConstants.stopTimeoutMs).catch(() => {})
  }

  recordFault (text: string): void {
    this.faultLog.push(`+${Date.now() - this.startedAtMs} ms ${text}`)
  }

  addViolation (violation: Violation): void {
    this.violations.push(violation)
  }

  chooseHost (): EntryHostProcess {
    return this.chooseOne(this.hosts)
  }

  chooseOne<T> (list: readonly T[]): T {
    return list[Math.floor(this.random() * list.length)] as T
  }

  /** Injects a fault into a random host that has none at the moment; does nothing when every host has one. */
  async runHostFault (fault: (hostId: string) => Promise<void>): Promise<void> {
    const free = this.hosts.filter(host => !this.hostsWithFault.has(host.id))
    if (free.length === 0) return
    const { id } = this.chooseOne(free)
    this.hostsWithFault.add(id)
    await fault(id).finally(() => this.hostsWithFault.delete(id))
  }

  /** Kills a host and starts it again after `downMs`. */
  async killHost (id: string, downMs: number): Promise<void> {
    this.recordFault(`${id} killed`)
    await this.deployment.kill(id)
    await waitMs(downMs)
    await this.deployment.startProcess(id)
    this.recordFault(`${id} started again`)
  }

  /** Suspends a host process for `frozenMs`. */
  async freezeHost (id: string, frozenMs: number): Promise<void> {
    this.recordFault(`${id} frozen`)
    this.deployment.freeze(id)
    await waitMs(frozenMs)
    this.deployment.resume(id)
    this.recordFault(`${id} resumed`)
  }

  /** Sets the faults of stand-ins for `lastingMs`, then clears them. */
  async setFaults (ids: readonly string[], faults: Readonly<Record<string, unknown>>, lastingMs: number): Promise<void> {
    this.recordFault(`${JSON.stringify(faults)} at ${ids.join(', ')}`)
    await Promise.all(ids.map(id => this.deployment.setFaults(id, faults)))
    await waitMs(lastingMs)
    await Promise.all(ids.map(id => this.deployment.setFaults(id, {})))
    this.recordFault(`faults cleared at ${ids.join(', ')}`)
  }

  /** Ids of the upstreams of a pool that were not told to leave. */
  listStayingUpstreams (pool: string): readonly string[] {
    return this.deployment.listUpstreams(pool).filter(id => !this.leavingUpstreams.some(({ upstreamId }) => upstreamId === id))
  }

  /** Tells an upstream to leave. When `leaving-signals` is disabled, only the expectation is recorded and it keeps taking work. */
  async setLeaving (id: string): Promise<void> {
    this.recordFault(`${id} told to leave`)
    this.leavingUpstreams.push({ upstreamId: id, leavingAtMs: Date.now() })
    if (this.isMechanismDisabled('leaving-signals')) return
    await Promise.all([this.deployment.setFaults(id, { leaving: true, reportLagMs: 5000 }), this.deployment.setLeaving(id, true)])
  }

  private listFaults (): readonly string[] {
    return [`faults from ${new Date(this.startedAtMs).toISOString()}: ${this.faultLog.join('; ')}`]
  }

  private isIdempotent (account: string, kind: string): boolean {
    return this.example.contracts.find(contract => contract.account === account)?.kinds[kind]?.idempotent !== false
  }

  private async openLink (kind: 'caller' | 'peer' | 'key-value', id: string, address: string): Promise<string> {
    if (kind === 'key-value') {
      if (!this.isMechanismDisabled('version-check')) return address
      const proxy = new UncheckedKeyValueProxy(address)
      this.uncheckedProxies.push(proxy)
      return proxy.start()
    }
    if (!this.scenario.links?.includes(kind)) return address
    const link = new SilencingProxy(address)
    this.linkProxies.set(`${kind} ${id}`, link)
    return link.start()
  }
}
