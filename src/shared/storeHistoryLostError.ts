import { LycheetrackError } from './lycheetrackError.js'

/** The store no longer holds all changes after the revision from which a watch was to continue. */
export class StoreHistoryLostError extends LycheetrackError {
  readonly code = 'store_history_lost'
  override readonly httpStatus = 503
}
