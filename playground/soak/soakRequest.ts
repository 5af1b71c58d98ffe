/**
 * Request kinds of the soak test. `safe` and `stream` may be executed more than once; `once`, `brittle` (a stream that
 * cannot be resumed) and `pipe` (a stream after two stages) must not.
 */
type SoakRequestKind = 'safe' | 'once' | 'stream' | 'brittle' | 'pipe'

/** One request of a client and its answer, as the client saw them. */
export interface SoakRequest {
  readonly id: string
  readonly kind: SoakRequestKind
  /** How the client sent it: `single`, or the form of its batch. */
  readonly form: string
  readonly method: string
  readonly path: string
  /** A body over 1 KB is replaced by its length and hash. */
  readonly body: string
  readonly timeoutMs: number
  readonly sentAtMs: number
  /** When the last byte was handed to the socket; undefined when it was not. */
  readonly writtenAtMs?: number
  readonly endedAtMs: number
  /** IP address of the host. */
  readonly host: string
  /** Id of the request that brought the first event of the stream that this one resumes, and the last event that it had. */
  readonly resumedId?: string
  readonly lastEventId?: number
  /** Whether an earlier request was sent on the same connection. */
  readonly isKept: boolean
  /** Whether every configuration of the run allows the request. */
  readonly isAllowed: boolean
  /** Whether the client gave up, at its timeout or before. */
  readonly hasLeft: boolean
  /** Whether the connection ended with a reset before the answer had begun. */
  readonly wasReset: boolean
  /** Undefined when no answer arrived. */
  readonly status?: number
  readonly signature?: string
  /** Id of the request that the answer names. */
  readonly answeredId?: string
  readonly answer?: string
  /** Whether the answer ended with a complete HTTP message. */
  readonly isComplete: boolean
}
