import type { HostEntry } from '../model/hostEntry.js'
import type { Random } from '../../../types/random.js'

interface HostOptions {
  readonly hosts: readonly HostEntry[]
  readonly excludedIds: ReadonlySet<string>
  readonly count: number
  readonly random: Random
}

/**
 * Draws the hosts that relay for one that is cut off, at random in proportion to their cores. A whole failure domain
 * may be cut off at the same time, so its hosts must not all choose the same few helpers.
 */
export function chooseRelayHosts ({ hosts, excludedIds, count, random }: HostOptions): readonly HostEntry[] {
  return hosts
    .filter(host => !excludedIds.has(host.id))
    // Weighted sampling without replacement, by exponentially distributed values of rate `cores`.
    .map(host => ({ host, value: -Math.log(1 - random()) / host.cores }))
    .sort((a, b) => a.value - b.value)
    .slice(0, count)
    .map(({ host }) => host)
}
