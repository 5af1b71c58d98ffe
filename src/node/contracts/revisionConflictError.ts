import { LycheetrackError } from '../../shared/lycheetrackError.js'

/** The contract has another revision than the operator's change expects; `revision` is the one that holds. */
export class RevisionConflictError extends LycheetrackError {
  readonly code = 'revision_conflict'
  override readonly httpStatus = 409
  override readonly ran = 'not_run'

  constructor (account: string, readonly revision: number) {
    super(`the contract of ${account} is at revision ${revision}`)
  }
}
