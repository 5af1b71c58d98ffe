import { hashText } from '../../shared/hashText.js'
import { claimConstants } from './constants.js'

/**
 * Returns the key of the segment that holds a request's claim. All hosts compute the same key from account, request
 * id and the time in the request id.
 */
export function computeSegmentKey (account: string, requestId: string, requestTimeMs: number): string {
  const slice = Math.floor(requestTimeMs / claimConstants.SLICE_MS)
  const partition = hashText(`${account}/${requestId}`) % claimConstants.PARTITIONS_PER_SLICE
  return `claims/${slice}/${partition}`
}
