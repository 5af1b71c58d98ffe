import { engineConstants } from './constants.js'

/** Expected end of the reading of prompts at each engine, from the requests that were sent there. */
export class EngineLoads {
  private readonly prefillUntilMs = new Map<string, number>()

  /** An engine was given a prompt that takes `prefillMs` to read. */
  recordPrompt (engineId: string, prefillMs: number, nowMs: number): void {
    const startMs = Math.max(this.prefillUntilMs.get(engineId) ?? 0, nowMs)
    this.prefillUntilMs.set(engineId, Math.min(startMs + prefillMs, nowMs + engineConstants.maxPrefillBacklogMs))
  }

  /** Time that the engine still reads the prompts it has. */
  computePrefillBacklogMs (engineId: string, nowMs: number): number {
    return Math.max((this.prefillUntilMs.get(engineId) ?? 0) - nowMs, 0)
  }

  removeEngine (engineId: string): void {
    this.prefillUntilMs.delete(engineId)
  }
}
