import { LycheetrackError } from '../../shared/lycheetrackError.js'

/** A peer's burn counters have an unexpected form, for example those of another version. */
export class BurnSnapshotInvalidError extends LycheetrackError {
  readonly code = 'burn_snapshot_invalid'
}
