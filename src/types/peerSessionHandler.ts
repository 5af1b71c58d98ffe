/** Receives the messages of a peer. */
export interface PeerSessionHandler<Message> {
  onMessage (message: Message): void
  /** The peer closed the session or cannot be reached; called once, as the last callback. */
  onClosed (reason: string): void
}
