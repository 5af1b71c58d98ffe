/** One attempt at a simulated upstream. Work is in milliseconds at usual speed on an otherwise idle upstream. */
export interface Job {
  readonly priority: number
  readonly long: boolean
  readonly prefixHash: string | undefined
  /** Work before the first token; smaller when the prefix is cached. */
  readonly prefillMs: number
  /** Work of each unit. */
  readonly unitMs: number
  /** Tokens of a generation; 1 for other stages. */
  readonly unitCount: number
  readonly onStarted: () => void
  readonly onDone: () => void
  readonly onLost: () => void
  readonly onTokens: ((tokens: number) => void) | undefined
  submittedMs: number
  startedMs: number
  /** Work that the upstream had done when the job started. */
  startWork: number
  totalWork: number
  state: 'waiting' | 'running' | 'ended'
}
