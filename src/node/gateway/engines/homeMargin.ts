/** Margin in favour of the home engine of a prompt, which other engines cost more. */
export interface HomeMargin {
  /** Tokens of the prompt that are expected in the cache of the home engine. */
  readonly cachedTokens: number
  /** Cost of each of them that is not in the cache of another engine, beside its read there. */
  readonly msPerToken: number
}
