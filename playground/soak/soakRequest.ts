/**
 * Request kinds of the soak test. `safe` and `stream` may be executed more than once; `once`, `brittle` (a stream that
 * cannot be resumed) and `pipe` (a stream after two stages) must not.
 */
type SoakRequestKind = 'safe' | 'once' | 'stream' | 'brittle' | 'pipe'

/** One request of a client and its answer, as the client saw them. */
export interface SoakRequest {
  readonly id: string
  readonly kind: SoakRequestKind
  readonly method: string
  readonly path: string
  readonly body: string
  readonly timeoutMs: number
  readonly sentAtMs: number
  /** Undefined when no answer arrived. */
  readonly status?: number
  readonly signature?: string
  readonly answer?: string
  /** Whether the answer ended with a complete HTTP message. */
  readonly isComplete: boolean
}
