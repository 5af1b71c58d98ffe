import { requestConstants } from './constants.js'

/** Predicts how many tokens a generation takes, from the past of the same account, kind and stage. */
export class TokenModel {
  private readonly means = new Map<string, number>()

  observe (stageKey: string, tokens: number): void {
    const mean = this.means.get(stageKey)
    this.means.set(stageKey, mean === undefined ? tokens : mean + (tokens - mean) / 8)
  }

  compute (stageKey: string, maxTokens: number): number {
    return Math.min(maxTokens, Math.max(1, Math.round(this.means.get(stageKey) ?? maxTokens * requestConstants.unseenLengthShare)))
  }
}
