import { hashPair } from '../../shared/hashPair.js'
import { hashText } from '../../shared/hashText.js'

/** A host in the course of the rounds, with the upstreams in the order of its rendezvous weights. */
interface RoundHost {
  readonly id: string
  readonly preferences: Float64Array
  next: number
  readonly skipped: number[]
  readonly chosen: number[]
}

/**
 * The upstreams that `hostId` connects to: `size` of a large pool, all of a smaller one, sorted by id.
 *
 * Rendezvous hashing in rounds: in each round every host takes the upstream of highest weight that has
 * fewer connections than the round allows, so that the connections of the upstreams stay even. All
 * hosts compute the rounds of all hosts and agree while they know the same hosts and upstreams; a
 * difference costs evenness only. The work grows with hosts times upstreams, about 0.3 s for 340 hosts
 * and 2,800 upstreams, so it belongs to changes of the lists and not to requests.
 */
export function chooseConnectionSubset (hostId: string, hostIds: readonly string[], upstreamIds: readonly string[], size: number): readonly string[] {
  const upstreams = [...upstreamIds].sort()
  if (upstreams.length <= size) return upstreams
  const hashes = Uint32Array.from(upstreams, hashText)
  const hosts = [...new Set([...hostIds, hostId])].map(id => createRoundHost(id, hashes))
  hosts.sort((a, b) => hashText(a.id) - hashText(b.id) || (a.id < b.id ? -1 : 1))
  const connections = new Uint16Array(upstreams.length)
  for (let round = 1; round <= size; round++) {
    const allowed = Math.ceil(round * hosts.length / upstreams.length)
    for (const host of hosts) chooseNext(host, connections, allowed)
  }
  const own = hosts.find(host => host.id === hostId)?.chosen ?? []
  return own.map(at => upstreams[at] as string).sort()
}

function createRoundHost (id: string, hashes: Uint32Array): RoundHost {
  const own = hashText(id)
  // Sorting numbers that carry weight and index is several times faster than sorting pairs.
  const preferences = Float64Array.from(hashes, (hash, at) => -hashPair(own, hash) * 2 ** 20 + at).sort()
  return { id, preferences, next: 0, skipped: [], chosen: [] }
}

/** Takes the best upstream with room: one that was passed over in an earlier round, or the next in order. */
function chooseNext (host: RoundHost, connections: Uint16Array, allowed: number): void {
  const again = host.skipped.findIndex(at => (connections[at] as number) < allowed)
  if (again >= 0) {
    addConnection(host, host.skipped.splice(again, 1)[0] as number, connections)
    return
  }
  while (host.next < host.preferences.length) {
    const at = decodeIndex(host.preferences[host.next++] as number)
    if ((connections[at] as number) < allowed) {
      addConnection(host, at, connections)
      return
    }
    host.skipped.push(at)
  }
}

function addConnection (host: RoundHost, at: number, connections: Uint16Array): void {
  connections[at] = (connections[at] as number) + 1
  host.chosen.push(at)
}

function decodeIndex (preference: number): number {
  return preference - Math.floor(preference / 2 ** 20) * 2 ** 20
}
