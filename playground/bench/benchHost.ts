import type { Arrival } from './arrival.js'
import type { SimulationContext } from './simulationContext.js'
import type { HostPolicy } from './hostPolicy.js'
import { RequestExecution } from './requestExecution.js'
import type { StageExecution } from './stageExecution.js'
import type { UpstreamModel } from './upstreamModel.js'

/** Simulates one entry host, which runs requests as its policy decides. */
export class BenchHost {
  readonly requests = new Set<RequestExecution>()
  dead = false
  /** Work for which the router has found no upstream yet, in the order in which it is sent. */
  private deferred: StageExecution[] = []
  /** True while `sendDeferred` runs; a nested call returns at once. */
  private sending = false

  constructor (
    readonly context: SimulationContext,
    readonly policy: HostPolicy,
    readonly failureDomain: string
  ) {
    policy.router.applyUpstreams(context.upstreams, 0)
  }

  receive (arrival: Arrival): void {
    new RequestExecution(this, arrival).start()
  }

  computeLinkMs (model: UpstreamModel): number {
    return model.failureDomain === this.failureDomain ? 0.2 : this.context.deployment.linkMs
  }

  addDeferred (execution: StageExecution): void {
    let at = this.deferred.length
    if (this.policy.usesPriority) while (at > 0 && (this.deferred[at - 1] as StageExecution).work.priority < execution.work.priority) at--
    this.deferred.splice(at, 0, execution)
  }

  /**
   * Sends the deferred work for which the router now finds an upstream. Once work finds none, all later work of the
   * same pool stays deferred, so that it keeps its order; if the policy uses priorities, only that of the same cost.
   */
  sendDeferred (): void {
    if (this.sending || this.deferred.length === 0 || this.dead) return
    this.sending = true
    const waiting = this.deferred
    this.deferred = []
    const full = new Set<string>()
    for (const execution of waiting) {
      const key = `${execution.work.pool}/${this.policy.usesPriority ? execution.work.cost : ''}`
      if (!full.has(key) && execution.send()) continue
      full.add(key)
      this.addDeferred(execution)
    }
    this.sending = false
  }

  removeDeferred (execution: StageExecution): void {
    this.deferred = this.deferred.filter(other => other !== execution)
  }

  /** Stops the host as a crash does. Returns its requests, which the callers send to another host. */
  close (): readonly Arrival[] {
    this.dead = true
    const requests = [...this.requests]
    for (const request of requests) request.close()
    return requests.map(request => request.arrival)
  }
}
