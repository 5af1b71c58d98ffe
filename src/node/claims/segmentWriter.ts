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

interface StoredSegment {
  readonly segment: ClaimSegment | undefined
  readonly version: number
  /** True when the copy was read during the present commit. */
  readonly isCurrent: boolean
}

/**
 * Writes the mutations of one claim segment by group commit: all mutations that arrive while a write is
 * under way share the next compare-and-swap. Exactly one commit is under way at a time.
 */
export class SegmentWriter {
  private queue: QueuedMutation[] = []
  private stored: StoredSegment = { segment: undefined, version: 0, isCurrent: false }
  private running = false
  private lastCommitMs = -Infinity

  constructor (
    private readonly key: string,
    private readonly keyValue: KeyValueService,
    private readonly clock: Clock,
    private readonly wait: (ms: number) => Promise<void>
  ) {}

  /**
   * Applies `mutation` durably and resolves with the record stored afterwards. Rejects with a typed error
   * when that could not be confirmed by `deadlineMs` (monotonic); the mutation may then still have taken effect.
   */
  write (mutation: SegmentMutation, deadlineMs: number): Promise<ClaimRecord | undefined> {
    return new Promise((resolve, reject) => {
      this.queue.push({ mutation, deadlineMs, resolve, reject })
      if (!this.running) void this.runCommits()
    })
  }

  isIdle (): boolean {
    return !this.running
  }

  private async runCommits (): Promise<void> {
    this.running = true
    while (this.queue.length > 0) {
      const pauseMs = this.computePauseMs()
      if (pauseMs > 0) {
        await this.wait(Math.min(pauseMs, claimConstants.CLAIM_COMMIT_INTERVAL_MS))
        continue
      }
      const batch = this.queue
      this.queue = []
      await this.runCommit(batch)
      this.lastCommitMs = this.clock.readMonotonicMs()
    }
    this.running = false
  }

  /** Claims hold up a caller; outcomes do not, so they wait for company. */
  private computePauseMs (): number {
    const isUrgent = this.queue.some(queued => queued.mutation.type === 'claim')
    const intervalMs = isUrgent ? claimConstants.CLAIM_COMMIT_INTERVAL_MS : claimConstants.OUTCOME_COMMIT_INTERVAL_MS
    return this.lastCommitMs + intervalMs - this.clock.readMonotonicMs()
  }

  private async runCommit (batch: readonly QueuedMutation[]): Promise<void> {
    this.stored = { ...this.stored, isCurrent: false }
    let remaining = batch
    let lastError: LycheetrackError | undefined
    while (remaining.length > 0) {
      remaining = this.refuseOverdue(remaining, lastError)
      if (remaining.length === 0) return
      try {
        if (await this.runCommitStep(remaining)) return
      } catch (error) {
        if (error instanceof ClaimSegmentFullError) return this.refuseAll(remaining, error)
        if (!(error instanceof LycheetrackError)) throw error
        // Whether or not the write took effect, a fresh read decides: mutations find their own nonce there.
        if (error instanceof KeyValueUncertainError) this.stored = { ...this.stored, isCurrent: false, version: -1 }
        lastError = error
        await this.wait(claimConstants.RETRY_DELAY_MS)
      }
    }
  }

  /** One read or write. True when the batch is settled. */
  private async runCommitStep (batch: readonly QueuedMutation[]): Promise<boolean> {
    if (this.stored.version < 0) await this.readSegment()
    const claims: Record<string, ClaimRecord> = { ...this.stored.segment?.claims }
    let changed = false
    for (const { mutation } of batch) {
      const before = claims[mutation.claimKey]
      const after = applyMutation(before, mutation)
      if (after === before || after === undefined) continue
      claims[mutation.claimKey] = after
      changed = true
    }
    if (!changed) return await this.settleUnchanged(batch)
    return await this.writeSegment(batch, claims)
  }

  private async settleUnchanged (batch: readonly QueuedMutation[]): Promise<boolean> {
    if (!this.stored.isCurrent) {
      // The cached copy may miss an outcome that another host has recorded since.
      await this.readSegment()
      return false
    }
    this.resolveAll(batch, this.stored.segment?.claims ?? {})
    return true
  }

  private async writeSegment (batch: readonly QueuedMutation[], claims: Readonly<Record<string, ClaimRecord>>): Promise<boolean> {
    const leaseId = this.stored.segment?.leaseId ?? await this.keyValue.grantLease(claimConstants.SEGMENT_TTL_MS)
    const segment: ClaimSegment = { leaseId, claims }
    const value = JSON.stringify(segment)
    if (value.length > claimConstants.MAX_SEGMENT_BYTES) throw new ClaimSegmentFullError(`claim segment ${this.key} holds ${value.length} bytes`)
    const result = await this.keyValue.compareAndSwap(this.key, this.stored.version, value, leaseId)
    if (!result.swapped) {
      await this.readSegment()
      return false
    }
    this.stored = { segment, version: result.version, isCurrent: true }
    this.resolveAll(batch, claims)
    return true
  }

  private async readSegment (): Promise<void> {
    const entry = await this.keyValue.read(this.key)
    this.stored = entry === undefined
      ? { segment: undefined, version: 0, isCurrent: true }
      : { segment: JSON.parse(entry.value) as ClaimSegment, version: entry.version, isCurrent: true }
  }

  private refuseOverdue (batch: readonly QueuedMutation[], lastError: LycheetrackError | undefined): readonly QueuedMutation[] {
    const nowMs = this.clock.readMonotonicMs()
    const overdue = batch.filter(queued => queued.deadlineMs <= nowMs)
    this.refuseAll(overdue, lastError ?? new ClaimTimeoutError(`segment ${this.key} could not be written in time`))
    return batch.filter(queued => queued.deadlineMs > nowMs)
  }

  private resolveAll (batch: readonly QueuedMutation[], claims: Readonly<Record<string, ClaimRecord>>): void {
    for (const queued of batch) queued.resolve(claims[queued.mutation.claimKey])
  }

  private refuseAll (batch: readonly QueuedMutation[], error: LycheetrackError): void {
    for (const queued of batch) queued.reject(error)
  }
}
