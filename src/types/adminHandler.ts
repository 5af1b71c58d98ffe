import type { AdminRequest } from './adminRequest.js'
import type { AdminResponse } from './adminResponse.js'

/** Handles the requests below `/admin/v1`. Failures are answers too; the promise does not reject. */
export interface AdminHandler {
  handle (request: AdminRequest): Promise<AdminResponse>
}
