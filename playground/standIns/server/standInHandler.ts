import type { StandInCall } from './standInCall.js'

/** What one type of stand-in does with a call. */
export interface StandInHandler {
  handleCall (call: StandInCall): Promise<void> | void
  /** Handles a call below `/control/` other than `faults` and `log`; false when there is none. */
  handleControl? (call: StandInCall): boolean
  /** Called after the faults were replaced. */
  onFaultsChanged? (): void
  /** Headers of every response. */
  buildHeaders? (): Readonly<Record<string, string>>
  stop? (): void
}
