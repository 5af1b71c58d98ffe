import { setTimeout as waitTime } from 'node:timers/promises'
import { createActor } from 'xstate'
import { requestConstants } from './constants.js'
import { drainMachine } from './drainMachine.js'
import type { DrainOptions } from './drainOptions.js'
import { RequestError } from './requestError.js'

/**
 * Graceful shutdown of a host: running requests are completed, and callers get the addresses of other hosts in time.
 */
export class Drain {
  private readonly machine = createActor(drainMachine)
  private completion: Promise<void> | undefined

  constructor (private readonly options: DrainOptions) {
    this.machine.start()
  }

  /** `serving`, `leaving`, `draining` or `stopped`. */
  get state (): string {
    return this.machine.getSnapshot().value
  }

  /** Starts the shutdown and resolves when the process may exit. Further calls return the same promise. */
  start (): Promise<void> {
    this.completion ??= this.run()
    return this.completion
  }

  private async run (): Promise<void> {
    const { requests, logger, reportLeaving } = this.options
    const wait = this.options.wait ?? (async ms => { await waitTime(ms) })
    this.machine.send({ type: 'leave' })
    logger.recordInfo('host is leaving')
    reportLeaving()
    // Callers that queried a route just before may use this host's address until their route answer expires.
    const routeLifetimeMs = this.options.routeLifetimeMs ?? requestConstants.routeLifetimeMs
    await wait(routeLifetimeMs + (this.options.leavingMarginMs ?? requestConstants.leavingMarginMs))
    this.machine.send({ type: 'refuse' })
    requests.refuseNew(() => this.buildRefusal())
    logger.recordInfo('host is draining', { running: requests.runningCount })
    await requests.waitIdle()
    await requests.sendHandOver()
    await this.options.closeServer?.()
    this.machine.send({ type: 'stop' })
    logger.recordInfo('host has drained')
  }

  private buildRefusal (): RequestError {
    const { membership, chooseRouteHosts } = this.options
    const selfId = membership.getSelf().id
    const others = membership.listHosts().filter(host => host.id !== selfId && host.state !== 'leaving')
    const addresses = chooseRouteHosts(others).map(({ address, failureDomain }) => ({ address, failureDomain }))
    return new RequestError('host_draining', 'this host stops; use another address', 503, 'not_run', { addresses })
  }
}
