import { requestConstants } from './constants.js'

/** Predicts the token count of a generation from earlier ones of the same account, kind and stage. */
export class TokenModel {
  private readonly means = new Map<string, number>()

  /** Records the token count of a finished generation. `stageKey` is `account/kind/stage`. */
  observe (stageKey: string, tokens: number): void {
    for (const key of [stageKey, buildKindKey(stageKey)]) {
      const mean = this.means.get(key)
      this.means.set(key, mean === undefined ? tokens : mean + (tokens - mean) / 8)
    }
  }

  /**
   * Falls back to the same kind and stage of all accounts, then to a share of the maximum. Predicting the maximum itself
   * would make admission refuse the first requests of a kind whose maximum does not fit its deadline.
   */
  computeExpectedTokens (stageKey: string, maxTokens: number): number {
    const mean = this.means.get(stageKey) ?? this.means.get(buildKindKey(stageKey)) ?? maxTokens * requestConstants.initialTokenShare
    return Math.min(maxTokens, Math.max(1, Math.round(mean)))
  }
}

function buildKindKey (stageKey: string): string {
  return '*' + stageKey.slice(stageKey.indexOf('/'))
}
