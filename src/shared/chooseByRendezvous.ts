import { hashText } from './hashText.js'

/**
 * Chooses the `count` members with the highest rendezvous weight for `key`, highest first. When a member joins
 * or leaves, the choice changes only for keys that are assigned to this member.
 */
export function chooseByRendezvous (key: string, members: readonly string[], count: number): readonly string[] {
  return members
    .map(member => ({ member, weight: hashText(`${key}\n${member}`) }))
    .sort((a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1))
    .slice(0, count)
    .map(entry => entry.member)
}
