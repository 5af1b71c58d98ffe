/** A small event that spreads between hosts with the membership messages, e.g. an upstream seen leaving. */
export interface GossipEvent {
  /** Kind of event, e.g. `upstream_leaving`. */
  readonly type: string
  /** What the event is about, e.g. an upstream id. */
  readonly subject: string
  /** Milliseconds since the epoch at the origin. */
  readonly atMs: number
  /** Rises with each event of one origin. */
  readonly sequence: number
  /** Host id of the host that saw it. */
  readonly origin: string
}
