import { hashText } from './hashText.js'

/**
 * The `count` members with the highest rendezvous weight for `key`, best first. When a member joins
 * or leaves, only the keys that it held or takes change their choice.
 */
export function chooseByRendezvous (key: string, members: readonly string[], count: number): readonly string[] {
  return members
    .map(member => ({ member, weight: hashText(`${key}\n${member}`) }))
    .sort((a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1))
    .slice(0, count)
    .map(entry => entry.member)
}
