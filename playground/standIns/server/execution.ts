/** One execution of a call, as `GET /control/log` lists it. Times are milliseconds since the epoch. */
export interface Execution {
  /** Request id, if the call id has the form `account/request/stage/attempt`. */
  readonly requestId?: string
  /** Stream id, call id or key. */
  readonly streamId: string
  readonly operation: string
  readonly start: number
  end?: number
  /** `running` until the execution ends. */
  outcome: string
  /** Number of generated tokens, for streams. */
  tokens?: number
}
