import type { AdminRequest } from './adminRequest.js'
import type { AdminResponse } from './adminResponse.js'

/** Handles the requests below `/admin/v1`. Failures become error responses; the promise does not reject. */
export interface AdminHandler {
  handle (request: AdminRequest): Promise<AdminResponse>
}
