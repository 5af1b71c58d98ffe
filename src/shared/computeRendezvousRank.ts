import { hashText } from './hashText.js'

/**
 * Rank of a member in the order in which `chooseByRendezvous` chooses for a key; undefined when it is not among the first
 * `count`. Most members are not, which takes the weights of a few others to see.
 */
export function computeRendezvousRank (
  key: string,
  member: string,
  members: readonly string[],
  count: number
): number | undefined {
  const weight = hashText(`${key}\n${member}`)
  let rank = 0
  let isMember = false
  for (const other of members) {
    if (other === member) isMember = true
    else {
      const otherWeight = hashText(`${key}\n${other}`)
      if (otherWeight > weight || (otherWeight === weight && other < member)) rank++
      if (rank >= count) return undefined
    }
  }
  return isMember ? rank : undefined
}
