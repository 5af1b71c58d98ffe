import { setTimeout as waitMs } from 'node:timers/promises'
import { z } from 'zod'
import type { ExecutionLog } from '../server/executionLog.js'
import type { FaultState } from '../server/faultState.js'
import type { StandInCall } from '../server/standInCall.js'
import type { EngineOptions } from './engineOptions.js'
import { ModelTable } from './modelTable.js'

const orderBody = z.object({
  order: z.enum(['load', 'unload', 'role']),
  model: z.string().default(''),
  version: z.string().default('1'),
  role: z.string().optional(),
  fencing: z.number()
})

/** Endpoint for orders to load or unload a model or to change the role. A fencing number rejects orders of a former sender. */
export class OrderEndpoint {
  private readonly models: ModelTable
  private highestFencing = 0
  private role = 'serve'

  constructor (options: EngineOptions, private readonly faults: FaultState, private readonly log: ExecutionLog) {
    this.models = new ModelTable(options.models, options.weightStoreUrl, options.loadMs)
  }

  isServed (model: string): boolean {
    return this.models.isServed(model)
  }

  /** Whether an order with a higher fencing number was accepted before; always false under the fault `ignoreFencing`. */
  isOutdated (fencing: number): boolean {
    return !this.faults.settings.ignoreFencing && fencing < this.highestFencing
  }

  buildState (): { readonly role: string, readonly models: readonly unknown[] } {
    return { role: this.role, models: this.models.listModels() }
  }

  /** Responds with 202 and executes the order, or with 409 and the highest fencing number if the order is outdated. */
  async handleOrder (call: StandInCall): Promise<void> {
    const body = call.parseBody(orderBody)
    const delayMs = this.faults.settings.orderDelayMs ?? 0
    if (delayMs > 0) await waitMs(delayMs)
    if (this.isOutdated(body.fencing)) return call.sendJson(409, { error: 'fencing number is outdated', fencing: this.highestFencing })
    this.highestFencing = Math.max(this.highestFencing, body.fencing)
    const execution = this.log.recordStart(`${body.model}@${body.version}#${body.fencing}`, body.order, Date.now())
    if (body.order === 'load') {
      this.models.loadModel(body.model, body.version).then(() => this.log.recordEnd(execution, 'completed', Date.now()), () => this.log.recordEnd(execution, 'failed', Date.now()))
    } else {
      if (body.order === 'unload') this.models.removeModel(body.model)
      else this.role = body.role ?? body.model
      this.log.recordEnd(execution, 'completed', Date.now())
    }
    return call.sendJson(202, { fencing: this.highestFencing })
  }
}
