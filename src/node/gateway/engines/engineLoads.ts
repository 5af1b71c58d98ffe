import { engineConstants } from './constants.js'

/** Estimates the prefill backlog of each engine from the requests that were sent to it. */
export class EngineLoads {
  private readonly prefillUntilMs = new Map<string, number>()

  /** Records that an engine was sent a prompt that takes `prefillMs` to read. */
  recordPrompt (engineId: string, prefillMs: number, nowMs: number): void {
    const startMs = Math.max(this.prefillUntilMs.get(engineId) ?? 0, nowMs)
    this.prefillUntilMs.set(engineId, Math.min(startMs + prefillMs, nowMs + engineConstants.maxPrefillBacklogMs))
  }

  /** Time until the engine has read the prompts that were sent to it. */
  computePrefillBacklogMs (engineId: string, nowMs: number): number {
    return Math.max((this.prefillUntilMs.get(engineId) ?? 0) - nowMs, 0)
  }

  removeEngine (engineId: string): void {
    this.prefillUntilMs.delete(engineId)
  }
}
