import { KeyValueUncertainError } from '../../shared/keyValueUncertainError.js'
import { LycheetrackError } from '../../shared/lycheetrackError.js'
import type { Clock } from '../../types/clock.js'
import type { KeyValueService } from '../../types/keyValueService.js'
import { applyMutation } from './applyMutation.js'
import type { ClaimRecord } from './claimRecord.js'
import type { ClaimSegment } from './claimSegment.js'
import { ClaimSegmentFullError } from './claimSegmentFullError.js'
import { ClaimTimeoutError } from './claimTimeoutError.js'
import { claimConstants } from './constants.js'
import type { SegmentMutation } from './segmentMutation.js'

interface QueuedMutation {
  readonly mutation: SegmentMutation
  readonly deadlineMs: number
  resolve (record: ClaimRecord | undefined): void
  reject (error: LycheetrackError): void
}

interface CachedSegment {
  readonly segment: ClaimSegment | undefined
  /** Version in the key-value service; 0 for a key that does not exist, -1 when the segment must be read again. */
  readonly version: number
  /** True when the segment was read or written during the current commit. */
  readonly isCurrent: boolean
}

/**
 * Writes the mutations of one claim segment by group commit: all mutations that arrive during a write share the
 * next compare-and-swap. Only one commit runs at a time.
 */
export class SegmentWriter {
  private queue: QueuedMutation[] = []
  private cached: CachedSegment = { segment: undefined, version: 0, isCurrent: false }
  private isRunning = false
  private lastCommitMs = -Infinity

  constructor (
    private readonly key: string,
    private readonly keyValue: KeyValueService,
    private readonly clock: Clock,
    private readonly wait: (ms: number) => Promise<void>
  ) {}

  /**
   * Applies `mutation` durably and resolves with the record as stored after the write. Rejects with a typed error
   * when the write is not confirmed by `deadlineMs` (monotonic clock); it may still have taken effect in that case.
   */
  write (mutation: SegmentMutation, deadlineMs: number): Promise<ClaimRecord | undefined> {
    return new Promise((resolve, reject) => {
      this.queue.push({ mutation, deadlineMs, resolve, reject })
      if (!this.isRunning) void this.runCommits()
    })
  }

  isIdle (): boolean {
    return !this.isRunning
  }

  private async runCommits (): Promise<void> {
    this.isRunning = true
    while (this.queue.length > 0) {
      const delayMs = this.computeCommitDelayMs()
      if (delayMs > 0) {
        await this.wait(Math.min(delayMs, claimConstants.CLAIM_COMMIT_INTERVAL_MS))
        continue
      }
      const batch = this.queue
      this.queue = []
      await this.runCommit(batch)
      this.lastCommitMs = this.clock.readMonotonicMs()
    }
    this.isRunning = false
  }

  /** Time until the next commit. A claim delays its caller; outcomes do not, so they wait longer to share a commit. */
  private computeCommitDelayMs (): number {
    const isUrgent = this.queue.some(queued => queued.mutation.type === 'claim')
    const intervalMs = isUrgent ? claimConstants.CLAIM_COMMIT_INTERVAL_MS : claimConstants.OUTCOME_COMMIT_INTERVAL_MS
    return this.lastCommitMs + intervalMs - this.clock.readMonotonicMs()
  }

  private async runCommit (batch: readonly QueuedMutation[]): Promise<void> {
    this.cached = { ...this.cached, isCurrent: false }
    let remaining = batch
    let lastError: LycheetrackError | undefined
    while (remaining.length > 0) {
      remaining = this.refuseExpired(remaining, lastError)
      if (remaining.length === 0) return
      try {
        if (await this.runCommitStep(remaining)) return
      } catch (error) {
        if (error instanceof ClaimSegmentFullError) return this.refuseAll(remaining, error)
        if (!(error instanceof LycheetrackError)) throw error
        // The write may have taken effect. Reading the segment again shows it: mutations recognize their own nonce
        // there.
        if (error instanceof KeyValueUncertainError) this.cached = { ...this.cached, isCurrent: false, version: -1 }
        lastError = error
        await this.wait(claimConstants.RETRY_DELAY_MS)
      }
    }
  }

  /**
   * Attempts one compare-and-swap, after reading the segment if needed. Returns true when all mutations of the batch
   * are resolved.
   */
  private async runCommitStep (batch: readonly QueuedMutation[]): Promise<boolean> {
    if (this.cached.version < 0) await this.readSegment()
    const claims: Record<string, ClaimRecord> = { ...this.cached.segment?.claims }
    let isChanged = false
    for (const { mutation } of batch) {
      const before = claims[mutation.claimKey]
      const after = applyMutation(before, mutation)
      if (after === before || after === undefined) continue
      claims[mutation.claimKey] = after
      isChanged = true
    }
    if (!isChanged) return await this.resolveUnchanged(batch)
    return await this.writeSegment(batch, claims)
  }

  private async resolveUnchanged (batch: readonly QueuedMutation[]): Promise<boolean> {
    if (!this.cached.isCurrent) {
      // The cached segment may lack an outcome that another host has recorded since.
      await this.readSegment()
      return false
    }
    this.resolveAll(batch, this.cached.segment?.claims ?? {})
    return true
  }

  private async writeSegment (batch: readonly QueuedMutation[], claims: Readonly<Record<string, ClaimRecord>>): Promise<boolean> {
    const leaseId = this.cached.segment?.leaseId ?? await this.keyValue.grantLease(claimConstants.SEGMENT_TTL_MS)
    const segment: ClaimSegment = { leaseId, claims }
    const value = JSON.stringify(segment)
    if (value.length > claimConstants.MAX_SEGMENT_BYTES) throw new ClaimSegmentFullError(`claim segment ${this.key} holds ${value.length} bytes`)
    const result = await this.keyValue.compareAndSwap(this.key, this.cached.version, value, leaseId)
    if (!result.swapped) {
      await this.readSegment()
      return false
    }
    this.cached = { segment, version: result.version, isCurrent: true }
    this.resolveAll(batch, claims)
    return true
  }

  private async readSegment (): Promise<void> {
    const entry = await this.keyValue.read(this.key)
    this.cached = entry === undefined
      ? { segment: undefined, version: 0, isCurrent: true }
      : { segment: JSON.parse(entry.value) as ClaimSegment, version: entry.version, isCurrent: true }
  }

  private refuseExpired (batch: readonly QueuedMutation[], lastError: LycheetrackError | undefined): readonly QueuedMutation[] {
    const nowMs = this.clock.readMonotonicMs()
    const expired = batch.filter(queued => queued.deadlineMs <= nowMs)
    this.refuseAll(expired, lastError ?? new ClaimTimeoutError(`segment ${this.key} could not be written in time`))
    return batch.filter(queued => queued.deadlineMs > nowMs)
  }

  private resolveAll (batch: readonly QueuedMutation[], claims: Readonly<Record<string, ClaimRecord>>): void {
    for (const queued of batch) queued.resolve(claims[queued.mutation.claimKey])
  }

  private refuseAll (batch: readonly QueuedMutation[], error: LycheetrackError): void {
    for (const queued of batch) queued.reject(error)
  }
}
