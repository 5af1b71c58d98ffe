/** What has become of the bytes that were written to a socket. */
export interface SocketOutput {
  /** Bytes of the writes that the kernel has not taken whole. */
  readonly unsentBytes: number
  /** Bytes that the kernel has taken since the socket was opened. */
  readonly sentBytes: number
}
