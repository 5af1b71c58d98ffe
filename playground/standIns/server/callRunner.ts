import { setTimeout as waitMs } from 'node:timers/promises'
import { z } from 'zod'
import type { Random } from '../../../src/types/random.js'
import type { ExecutionLog } from './executionLog.js'
import type { FaultState } from './faultState.js'
import { LoadReporter } from './loadReporter.js'
import type { StandInCall } from './standInCall.js'
import { SlotQueue } from './slotQueue.js'

const callBody = z.object({ call_id: z.string(), input: z.unknown() })

interface RunnerOptions {
  readonly slots: number
  /** Mean service time; each call takes 0.5 to 1.5 times this value. */
  readonly serviceMs: number
  /** Age of load reports. */
  readonly reportLagMs: number
  /** If false, `GET /load` returns 404. */
  readonly reportsLoad: boolean
}

/** Runs the calls of stage pools and plain services, with slots, service times, execution log, load reports and faults. */
export class CallRunner {
  private readonly queue: SlotQueue
  private readonly reporter: LoadReporter
  private lastOutput: unknown

  constructor (private readonly options: RunnerOptions, private readonly random: Random, private readonly faults: FaultState, private readonly log: ExecutionLog) {
    this.queue = new SlotQueue(options.slots)
    this.reporter = new LoadReporter(() => ({ running: this.queue.running, waiting: this.queue.waiting, slots: options.slots, kvUsed: 0 }), options.reportLagMs, faults)
  }

  buildHeaders (): Readonly<Record<string, string>> {
    return { 'X-Upstream-State': this.faults.settings.leaving ? 'leaving' : 'live' }
  }

  sendReport (call: StandInCall): Promise<void> {
    if (!this.options.reportsLoad) return call.sendJson(404, { error: 'load is not reported' })
    return call.sendJson(200, this.reporter.buildReport())
  }

  /** Runs one call and responds with the output that `buildOutput` builds from its id and input. */
  async runCall (call: StandInCall, operation: string, buildOutput: (callId: string, input: unknown) => unknown): Promise<void> {
    const { call_id: callId, input } = call.parseBody(callBody)
    if (this.faults.settings.leaving) return call.sendJson(503, { error: 'leaving' })
    await this.queue.takeSlot()
    const execution = this.log.recordStart(callId, operation, Date.now())
    if (this.faults.settings.runTwice) this.log.recordEnd(this.log.recordStart(callId, operation, Date.now()), 'completed', Date.now())
    try {
      await waitMs(this.options.serviceMs * (0.5 + this.random()) * (this.faults.settings.slowFactor ?? 1))
    } finally {
      this.queue.releaseSlot()
    }
    const isLost = this.faults.isInjected(this.faults.settings.loseAnswers)
    this.log.recordEnd(execution, isLost ? 'answer lost' : 'completed', Date.now())
    if (isLost) return call.closeConnection()
    if (this.faults.isInjected(this.faults.settings.refuseAfterRun)) return call.sendJson(503, { error: 'leaving' }, { 'X-Upstream-State': 'leaving' })
    const output = buildOutput(callId, input)
    const sentOutput = this.faults.isInjected(this.faults.settings.crossAnswers) ? this.lastOutput ?? output : output
    this.lastOutput = output
    await call.sendJson(200, { call_id: callId, output: sentOutput })
  }

  stop (): void {
    this.reporter.stop()
  }
}
