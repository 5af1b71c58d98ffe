import type { StandInCall } from './standInCall.js'

/** Handles the calls to one type of stand-in. */
export interface StandInHandler {
  handleCall (call: StandInCall): Promise<void> | void
  /** Handles a call below `/control/` other than `faults` and `log`; returns false if the path is unknown. */
  handleControl? (call: StandInCall): boolean
  /** Called after the fault settings were replaced. */
  onFaultsChanged? (): void
  /** Builds the headers that are added to every response. */
  buildHeaders? (): Readonly<Record<string, string>>
  stop? (): void
}
