import { setTimeout as waitMs } from 'node:timers/promises'
import { z } from 'zod'
import type { ExecutionLog } from '../server/executionLog.js'
import type { FaultState } from '../server/faultState.js'
import { RateLimiter } from '../server/rateLimiter.js'
import type { StandInCall } from '../server/standInCall.js'
import type { StandInHandler } from '../server/standInHandler.js'

const fetchBody = z.object({ model: z.string(), version: z.string() })

/** Stands in for the weight store: `POST /fetch` with a rate limit. */
export class WeightStoreHandler implements StandInHandler {
  private readonly limiter: RateLimiter

  constructor (private readonly options: { readonly fetchesPerSecond: number, readonly transferMs: number }, private readonly faults: FaultState, private readonly log: ExecutionLog) {
    this.limiter = new RateLimiter(options.fetchesPerSecond, performance.now())
  }

  async handleCall (call: StandInCall): Promise<void> {
    if (call.path !== '/fetch' || call.method !== 'POST') return call.sendJson(404, { error: `no end point ${call.method} ${call.path}` })
    const { model, version } = call.parseBody(fetchBody)
    if (!this.limiter.takeCall(performance.now())) {
      return call.sendJson(429, { error: 'rate exceeded' }, { 'Retry-After': String(Math.ceil(1 / this.options.fetchesPerSecond)) })
    }
    const execution = this.log.recordStart(`${model}@${version}`, 'fetch', Date.now())
    await waitMs(this.options.transferMs * (this.faults.settings.slowFactor ?? 1))
    const isLost = this.faults.isInjected(this.faults.settings.loseAnswers)
    this.log.recordEnd(execution, isLost ? 'answer lost' : 'completed', Date.now())
    if (isLost) return call.closeConnection()
    await call.sendJson(200, { model, version })
  }
}
