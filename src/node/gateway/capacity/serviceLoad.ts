/** What is learned of the engines of a service as a whole. */
export interface ServiceLoad {
  /** Wait before an engine reads a prompt, when prompts have a mean number of tokens. */
  readonly computeWaitMs: (meanTokens: number) => number
  /** Time that an engine takes to read prompt tokens. */
  readonly computeReadMs: (tokens: number) => number
}
