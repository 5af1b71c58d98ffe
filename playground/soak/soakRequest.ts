/** Ways in which the soak's requests may be repeated. */
type SoakRequestKind = 'safe' | 'once' | 'stream' | 'brittle' | 'pipe'

/** One attempt of a client, as the client saw it. */
export interface SoakRequest {
  readonly id: string
  readonly kind: SoakRequestKind
  readonly method: string
  readonly path: string
  readonly body: string
  readonly timeoutMs: number
  readonly sentAtMs: number
  /** Undefined when no answer began. */
  readonly status?: number
  readonly signature?: string
  readonly answer?: string
  /** The answer ended as the protocol demands. */
  readonly isComplete: boolean
}
