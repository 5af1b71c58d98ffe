import { engineConstants } from './constants.js'

/** Expected end of the reading of prompts at each engine, from the requests that were sent there. */
export class EngineLoads {
  private readonly busyUntilMs = new Map<string, number>()

  /** An engine was given a prompt that takes `prefillMs` to read. */
  record (engineId: string, prefillMs: number, nowMs: number): void {
    const startMs = Math.max(this.busyUntilMs.get(engineId) ?? 0, nowMs)
    this.busyUntilMs.set(engineId, Math.min(startMs + prefillMs, nowMs + engineConstants.maxBusyMs))
  }

  /** Time that the engine still reads the prompts it has. */
  computeBusyMs (engineId: string, nowMs: number): number {
    return Math.max((this.busyUntilMs.get(engineId) ?? 0) - nowMs, 0)
  }

  removeEngine (engineId: string): void {
    this.busyUntilMs.delete(engineId)
  }
}
