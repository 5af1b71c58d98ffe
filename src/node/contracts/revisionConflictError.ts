import { LycheetrackError } from '../../shared/lycheetrackError.js'

/** The contract is not at the revision that the operator's change expects; `revision` is the current one. */
export class RevisionConflictError extends LycheetrackError {
  readonly code = 'revision_conflict'
  override readonly httpStatus = 409
  override readonly ran = 'not_run'

  constructor (account: string, readonly revision: number) {
    super(`the contract of ${account} is at revision ${revision}`)
  }
}
