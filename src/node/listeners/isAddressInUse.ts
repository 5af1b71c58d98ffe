import { hasErrorCode } from '../../shared/hasErrorCode.js'

/** Whether an error, or one of its causes, says that another socket listens at the address. */
export function isAddressInUse (error: unknown): boolean {
  return hasErrorCode(error, 'EADDRINUSE')
}
