import type { ExchangeFailure } from '../upstreams/exchangeFailure.js'
import type { NamedBlock } from './namedBlock.js'
import type { UpstreamCondition } from './upstreamCondition.js'
import type { UpstreamResponseHead } from '../model/upstreamResponseHead.js'
import type { UpstreamState } from '../upstreams/upstreamState.js'

/** A list of conditions; an upstream gets requests when none of them blocks it. */
export class UpstreamConditions {
  constructor (private readonly conditions: readonly UpstreamCondition[]) {}

  isOpen (upstream: UpstreamState, nowMs: number): boolean {
    for (const condition of this.conditions) {
      if (condition.findBlock(upstream, nowMs) !== undefined) return false
    }
    return true
  }

  /** Time for which `isOpen` holds unless the upstream or `countChanges` changes. */
  computeHoldMs (upstream: UpstreamState, nowMs: number): number {
    let holdMs = Infinity
    for (const condition of this.conditions) {
      holdMs = Math.min(holdMs, condition.computeHoldMs?.(upstream, nowMs) ?? 0)
    }
    return holdMs
  }

  /** Changes of conditions that are not those of a single upstream. */
  countChanges (): number {
    let count = 0
    for (const { changeCount = 0 } of this.conditions) count += changeCount
    return count
  }

  listBlocks (upstream: UpstreamState, nowMs: number): readonly NamedBlock[] {
    return this.conditions.flatMap(condition => {
      const block = condition.findBlock(upstream, nowMs)
      return block === undefined ? [] : { condition: condition.name, ...block }
    })
  }

  /** Time until the last block ends; 0 when none is known to last. */
  computeWaitMs (upstream: UpstreamState, nowMs: number): number {
    let waitMs = 0
    for (const condition of this.conditions) {
      waitMs = Math.max(waitMs, condition.findBlock(upstream, nowMs)?.waitMs ?? 0)
    }
    return waitMs
  }

  /** As `computeWaitMs`, with the estimated time until a request in progress makes room. */
  computeRoomWaitMs (upstream: UpstreamState, nowMs: number): number {
    let waitMs = 0
    for (const condition of this.conditions) {
      const block = condition.findBlock(upstream, nowMs)
      waitMs = Math.max(waitMs, block?.waitMs ?? 0, block?.roomInMs ?? 0)
    }
    return waitMs
  }

  /** The smallest number of requests that a condition allows in progress; undefined when none limits them. */
  findPlaces (upstream: UpstreamState, nowMs: number): number | undefined {
    const places = this.conditions.flatMap(condition => condition.findPlaces?.(upstream, nowMs) ?? [])
    return places.length === 0 ? undefined : Math.min(...places)
  }

  isRationed (upstream: UpstreamState, nowMs: number): boolean {
    return this.conditions.some(condition => condition.isRationed?.(upstream, nowMs) === true)
  }

  recordSent (upstream: UpstreamState, nowMs: number, takesPlace: boolean): void {
    for (const condition of this.conditions) condition.recordSent(upstream, nowMs, takesPlace)
  }

  recordEnded (upstream: UpstreamState, nowMs: number, takesPlace: boolean, failure?: ExchangeFailure): void {
    for (const condition of this.conditions) condition.recordEnded?.(upstream, nowMs, takesPlace, failure)
  }

  observeEntry (upstream: UpstreamState, nowMs: number): void {
    for (const condition of this.conditions) condition.observeEntry?.(upstream, nowMs)
  }

  observeHead (upstream: UpstreamState, head: UpstreamResponseHead, nowMs: number): void {
    for (const condition of this.conditions) condition.observeHead?.(upstream, head, nowMs)
  }
}
