import type { GossipEvent } from '../../types/gossipEvent.js'
import { membershipConstants } from './constants.js'
import { SpreadQueue } from './spreadQueue.js'

/** Gossip events: each is delivered once and passed on for a bounded time. */
export class EventLog {
  private readonly queue = new SpreadQueue<GossipEvent>()
  private readonly seen = new Map<string, { readonly sequence: number, readonly seenAtMs: number }>()
  private readonly subjects = new Map<string, number>()
  private arrived: GossipEvent[] = []

  /** Spreads an event of this host unless the same type and subject was seen a moment ago. */
  add (event: GossipEvent, nowMs: number): void {
    const lastMs = this.subjects.get(formatSubject(event))
    if (lastMs !== undefined && nowMs - lastMs < membershipConstants.eventRepeatMs) return
    this.recordSeen(event, nowMs)
  }

  receive (event: GossipEvent, nowMs: number): void {
    const known = this.seen.get(formatKey(event))
    if (known && known.sequence >= event.sequence) return
    this.recordSeen(event, nowMs)
    this.arrived.push(event)
  }

  takeArrived (): readonly GossipEvent[] {
    const arrived = this.arrived
    this.arrived = []
    return arrived
  }

  take (maxSends: number): readonly GossipEvent[] {
    return this.queue.take(membershipConstants.eventsPerMessage, maxSends)
  }

  removeOld (nowMs: number): void {
    this.queue.removeOlder(nowMs - membershipConstants.eventSpreadMs)
    for (const [key, { seenAtMs }] of this.seen) if (nowMs - seenAtMs > membershipConstants.eventRetentionMs) this.seen.delete(key)
    for (const [key, seenAtMs] of this.subjects) if (nowMs - seenAtMs > membershipConstants.eventRepeatMs) this.subjects.delete(key)
  }

  private recordSeen (event: GossipEvent, nowMs: number): void {
    if (this.seen.size >= membershipConstants.maxEvents) {
      const oldest = this.seen.keys().next().value
      if (oldest !== undefined) this.seen.delete(oldest)
    }
    this.seen.delete(formatKey(event))
    this.seen.set(formatKey(event), { sequence: event.sequence, seenAtMs: nowMs })
    this.subjects.set(formatSubject(event), nowMs)
    this.queue.add(formatKey(event), event, nowMs)
  }
}

function formatSubject (event: GossipEvent): string {
  return `${event.type}\n${event.subject}`
}

function formatKey (event: GossipEvent): string {
  return `${event.type}\n${event.subject}\n${event.origin}`
}
