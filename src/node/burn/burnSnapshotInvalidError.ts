import { LycheetrackError } from '../../shared/lycheetrackError.js'

/** The burn counters of a peer do not match the schema, for example because it runs another version. */
export class BurnSnapshotInvalidError extends LycheetrackError {
  readonly code = 'burn_snapshot_invalid'
}
