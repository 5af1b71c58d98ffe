/** How the requests of one class ended. */
interface ClassFigures {
  sent: number
  onTime: number
  late: number
  /** Refused, also when it was sent again. */
  refused: number
  failed: number
}

/** What was measured in a load peak. */
export interface LoadPeakFigures {
  readonly classes: Record<string, ClassFigures>
  calls: number
  /** Pieces whose results were produced. */
  made: number
  /** Results that neither another stage nor an engine fetched. */
  unused: number
  /** Time of upstreams for results that were not used and for calls whose answer was lost. */
  wastedMs: number
  /** Pieces that were not produced, by reason. */
  gone: number
  noRoom: number
  latePieces: number
  /** Most bytes of results held by one upstream relative to its room. */
  peakRoomShare: number
}
