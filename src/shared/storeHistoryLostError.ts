import { LycheetrackError } from './lycheetrackError.js'

/** The store no longer holds the changes after the revision of a watch. */
export class StoreHistoryLostError extends LycheetrackError {
  readonly code = 'store_history_lost'
  override readonly httpStatus = 503
}
