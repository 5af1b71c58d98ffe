/** One side of a session with a peer; messages arrive in the order in which they were sent. */
export interface PeerSession<Message> {
  /** Does nothing when the session is closed. `onSent` is called when the message has left this process. */
  send (message: Message, onSent?: () => void): void
  /** Closes the session; the handler of this side is not called. */
  close (): void
}
