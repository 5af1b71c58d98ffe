import { hashText } from '../../shared/hashText.js'
import { claimConstants } from './constants.js'

/** Key of the segment that holds the claim of a request. Every host computes the same key from the id alone. */
export function computeSegmentKey (account: string, requestId: string, requestTimeMs: number): string {
  const slice = Math.floor(requestTimeMs / claimConstants.SLICE_MS)
  const partition = hashText(`${account}/${requestId}`) % claimConstants.PARTITIONS_PER_SLICE
  return `claims/${slice}/${partition}`
}
