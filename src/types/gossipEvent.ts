/** A small event that hosts gossip in their membership messages, e.g. that an upstream is leaving. */
export interface GossipEvent {
  /** Kind of event, e.g. `upstream-leaving`. */
  readonly type: string
  /** Id of the object that the event is about, e.g. an upstream id. */
  readonly subject: string
  /** Time of the event in milliseconds since the epoch, by the clock of the origin. */
  readonly atMs: number
  /** Increases with each event of one origin. */
  readonly sequence: number
  /** Id of the host that sent the event first. */
  readonly origin: string
}
