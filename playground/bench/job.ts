/** One attempt at an upstream model. Work is in milliseconds at usual speed in an otherwise idle upstream. */
export interface Job {
  readonly priority: number
  readonly long: boolean
  readonly prefixHash: string | undefined
  /** Work before the first token; smaller when the prefix is cached. */
  readonly prefillMs: number
  readonly unitMs: number
  readonly unitCount: number
  readonly onStarted: () => void
  readonly onDone: () => void
  readonly onLost: () => void
  readonly onTokens: ((tokens: number) => void) | undefined
  submittedMs: number
  startedMs: number
  startWork: number
  totalWork: number
  state: 'waiting' | 'running' | 'ended'
}
