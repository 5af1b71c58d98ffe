/** Why a request for a stream is refused before its stages run. */
export interface EngineRefusal {
  /**
   * `deadline`: no engine can begin it in time; `share`: engines are busy, and its priority and account have their
   * share.
   */
  readonly cause: 'deadline' | 'share'
  readonly reason: string
  readonly retryAfterMs: number
  readonly logMessage: string
  readonly metric: string
  readonly labels: Readonly<Record<string, string>>
  /** The figures that decided, for logs and explanations. */
  readonly figures: Readonly<Record<string, number>>
}
