/** Pace of a stream that has ended. */
export interface PaceSample {
  readonly engineId: string
  /** Mean time between two arrivals of events. */
  readonly paceMs: number
  /** Arrivals of events in the stream. */
  readonly eventCount: number
  /** Requests that this host had in progress at the engine, this one included, as a mean over the stream. */
  readonly inProgress: number
}
