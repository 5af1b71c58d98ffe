/** How a started response was closed before its end. */
export interface BrokenOffResponse {
  readonly reason: string
  /** Bytes of complete events that were passed on. */
  readonly forwardedBytes: number
  /** The part of these that was still in the process. */
  readonly unreadBytes: number
  /** Whether the response states its end, so that the client can tell that it is missing. */
  readonly isFramed: boolean
}
