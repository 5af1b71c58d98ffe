import type { UnreadReason } from '../../listeners/unreadReason.js'

/** An answer of which the host dropped bytes at the end of its connection. */
export interface CutOffAnswer {
  /** The request that was answered last. */
  readonly requestId: string | undefined
  /** `linger-timeout`: the client has not closed its side in time; `host-stopped`: the process ends. */
  readonly reason: 'linger-timeout' | 'host-stopped' | UnreadReason
  /** Bytes of the writes that the kernel has not taken whole, so at most this many are lost in the process. */
  readonly unsentBytes: number
  /** Bytes of all answers since the connection was idle before, with the unsent ones. */
  readonly answerBytes: number
}
