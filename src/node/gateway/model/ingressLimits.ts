/** What a client may send and how long it may take. */
export interface IngressLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  /** A kept connection may be idle for this long. */
  readonly idleTimeoutMs: number
}
