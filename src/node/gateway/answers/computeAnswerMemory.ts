import { upstreamConstants } from '../upstreams/constants.js'

/** Part of a machine's memory that may hold answers. */
const answerShare = 1 / 16

/** Bytes of answers that a host may hold; room for the largest single answer on the smallest machine. */
export function computeAnswerMemory (memoryBytes: number): number {
  return Math.max(Math.floor(memoryBytes * answerShare), upstreamConstants.maxResponseBytes)
}
