import type { GossipEvent } from './gossipEvent.js'

/** Events that are gossiped to all hosts in the membership messages; delivery is best effort. */
export interface GossipEvents {
  /** Sends an event to all hosts, unless an event with the same type and subject was sent within the last 5 s. */
  sendEvent (type: string, subject: string): void
  /** Calls `listener` once for each event of another host; the returned function removes it. */
  onEvent (listener: (event: GossipEvent) => void): () => void
}
