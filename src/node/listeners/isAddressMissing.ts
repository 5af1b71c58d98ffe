import { hasErrorCode } from '../../shared/hasErrorCode.js'

/** Whether an error, or one of its causes, says that the machine does not have the address. */
export function isAddressMissing (error: unknown): boolean {
  return hasErrorCode(error, 'EADDRNOTAVAIL')
}
