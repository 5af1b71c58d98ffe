import type { GossipEvent } from '../../types/gossipEvent.js'
import { membershipConstants } from './constants.js'
import { GossipQueue } from './gossipQueue.js'

/** Deduplicates gossip events, queues them for forwarding and collects the received ones for delivery. */
export class EventBuffer {
  private readonly queue = new GossipQueue<GossipEvent>()
  private readonly seen = new Map<string, { readonly sequence: number, readonly seenAtMs: number }>()
  private readonly subjectSeenAtMs = new Map<string, number>()
  private received: GossipEvent[] = []

  /** Queues an event of this host unless an event of the same type and subject was seen within `eventRepeatSuppressionMs`. */
  add (event: GossipEvent, nowMs: number): void {
    const lastMs = this.subjectSeenAtMs.get(formatSubjectKey(event))
    if (lastMs !== undefined && nowMs - lastMs < membershipConstants.eventRepeatSuppressionMs) return
    this.recordSeen(event, nowMs)
  }

  /** Accepts an event of another host; an event that is not newer than the last one of its origin is ignored. */
  receive (event: GossipEvent, nowMs: number): void {
    const known = this.seen.get(formatEventKey(event))
    if (known && known.sequence >= event.sequence) return
    this.recordSeen(event, nowMs)
    this.received.push(event)
  }

  /** Returns the events received since the last call. */
  takeReceived (): readonly GossipEvent[] {
    const received = this.received
    this.received = []
    return received
  }

  /** Returns the events to add to the next message; each is returned at most `maxSends` times. */
  take (maxSends: number): readonly GossipEvent[] {
    return this.queue.take(membershipConstants.maxEventsPerMessage, maxSends)
  }

  removeExpired (nowMs: number): void {
    this.queue.removeOlderThan(nowMs - membershipConstants.eventForwardMs)
    for (const [key, { seenAtMs }] of this.seen) if (nowMs - seenAtMs > membershipConstants.eventRetentionMs) this.seen.delete(key)
    for (const [key, seenAtMs] of this.subjectSeenAtMs) if (nowMs - seenAtMs > membershipConstants.eventRepeatSuppressionMs) this.subjectSeenAtMs.delete(key)
  }

  private recordSeen (event: GossipEvent, nowMs: number): void {
    if (this.seen.size >= membershipConstants.maxSeenEvents) {
      const oldest = this.seen.keys().next().value
      if (oldest !== undefined) this.seen.delete(oldest)
    }
    this.seen.delete(formatEventKey(event))
    this.seen.set(formatEventKey(event), { sequence: event.sequence, seenAtMs: nowMs })
    this.subjectSeenAtMs.set(formatSubjectKey(event), nowMs)
    this.queue.add(formatEventKey(event), event, nowMs)
  }
}

function formatSubjectKey (event: GossipEvent): string {
  return `${event.type}\n${event.subject}`
}

function formatEventKey (event: GossipEvent): string {
  return `${event.type}\n${event.subject}\n${event.origin}`
}
