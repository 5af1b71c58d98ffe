import type { AdminRequest } from './adminRequest.js'
import type { AdminResponse } from './adminResponse.js'

/** The administration API behind the operator token. Failures are thrown as `LycheetrackError`. */
export interface AdminHandler {
  handle (request: AdminRequest): Promise<AdminResponse>
}
