import type { HeldAnswer } from './heldAnswer.js'

/**
 * Chooses the answer that gives way when the memory for answers is used up: the largest one of the upstream whose
 * answers hold most. Answers the load of a faulty upstream that answers many requests without end; answers of other
 * upstreams stay.
 */
export function chooseEvictedAnswer (held: ReadonlyMap<HeldAnswer, number>): HeldAnswer | undefined {
  const sums = new Map<string, number>()
  for (const [{ upstreamId }, bytes] of held) sums.set(upstreamId, (sums.get(upstreamId) ?? 0) + bytes)
  let largest: HeldAnswer | undefined
  let largestBytes = 0
  let largestSum = 0
  for (const [answer, bytes] of held) {
    const sum = sums.get(answer.upstreamId)!
    if (sum < largestSum || (sum === largestSum && bytes <= largestBytes)) continue
    largest = answer
    largestBytes = bytes
    largestSum = sum
  }
  return largest
}
