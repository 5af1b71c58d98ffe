/** What a client may send and how long it may take. */
export interface IngressLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  /** Idle timeout of a keep-alive connection. */
  readonly idleTimeoutMs: number
  /** Time after which a connection is closed whose client takes nothing of a pending answer. @default 60000 */
  readonly unreadTimeoutMs?: number
}
