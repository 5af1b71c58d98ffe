import type { GossipEvent } from './gossipEvent.js'

/** Events that spread to all hosts with the membership messages; delivery is best effort. */
export interface GossipEvents {
  /** Spreads an event; a repetition of the same type and subject within 5 s is left out. */
  sendEvent (type: string, subject: string): void
  /** Calls `listener` once for each event of another host; the returned function removes it. */
  onEvent (listener: (event: GossipEvent) => void): () => void
}
