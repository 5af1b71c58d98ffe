import type { GossipEvent } from '../../types/gossipEvent.js'

interface EventMessage {
  readonly type?: string | null
  readonly subject?: string | null
  readonly atMs?: number | null
  readonly sequence?: number | null
  readonly origin?: string | null
}

/** Parses an event from the wire; returns undefined if its type, subject or origin is missing. */
export function parseGossipEvent (message: EventMessage): GossipEvent | undefined {
  const { type, subject, atMs, sequence, origin } = message
  if (!type || !subject || !origin) return undefined
  return { type, subject, origin, atMs: atMs ?? 0, sequence: sequence ?? 0 }
}
