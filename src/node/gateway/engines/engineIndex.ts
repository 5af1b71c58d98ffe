import { findSharedPartId } from './findSharedPartId.js'
import { hashPair } from '../../../shared/hashPair.js'
import { hashText } from '../../../shared/hashText.js'
import type { PromptPart } from '../model/promptPart.js'
import type { UpstreamState } from '../upstreams/upstreamState.js'

/**
 * Finds engines in one list of usable ones. The ids are hashed once for each list: hashing those of 2,800 engines for
 * each request takes longer than all else of a choice.
 */
export class EngineIndex {
  private readonly hashes: Uint32Array
  private byId: ReadonlyMap<string, UpstreamState> | undefined

  constructor (private readonly engines: readonly UpstreamState[]) {
    this.hashes = Uint32Array.from(engines, ({ entry }) => hashText(entry.id))
  }

  /**
   * Engine that hosts prefer for the longest part of a prompt that other requests share: the one with the highest
   * rendezvous weight, so that hosts agree without messages, and the loss of an engine moves only its own parts.
   * Undefined for a prompt without parts.
   */
  findHome (parts: readonly PromptPart[]): UpstreamState | undefined {
    const key = findSharedPartId(parts)
    if (key === undefined) return undefined
    const keyHash = hashText(key)
    const { engines, hashes } = this
    let home: UpstreamState | undefined
    let homeWeight = -1
    for (let i = 0; i < hashes.length; i++) {
      const weight = hashPair(keyHash, hashes[i]!)
      if (weight < homeWeight) continue
      const engine = engines[i]!
      // The order of the list differs between hosts.
      if (weight === homeWeight && engine.entry.id > home!.entry.id) continue
      home = engine
      homeWeight = weight
    }
    return home
  }

  find (id: string): UpstreamState | undefined {
    this.byId ??= new Map(this.engines.map(engine => [engine.entry.id, engine]))
    return this.byId.get(id)
  }
}
