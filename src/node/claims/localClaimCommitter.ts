import type { Clock } from '../../types/clock.js'
import type { KeyValueService } from '../../types/keyValueService.js'
import type { ClaimCommitter } from './claimCommitter.js'
import type { ClaimRecord } from './claimRecord.js'
import { claimConstants } from './constants.js'
import type { SegmentMutation } from './segmentMutation.js'
import { SegmentWriter } from './segmentWriter.js'

/** Commits mutations to the key-value service from this host, with one writer per segment. */
export class LocalClaimCommitter implements ClaimCommitter {
  private readonly writers = new Map<string, SegmentWriter>()

  constructor (
    private readonly keyValue: KeyValueService,
    private readonly clock: Clock,
    private readonly wait: (ms: number) => Promise<void>
  ) {}

  async write (segmentKey: string, mutation: SegmentMutation, deadlineMs: number): Promise<ClaimRecord | undefined> {
    return await this.getWriter(segmentKey).write(mutation, deadlineMs)
  }

  private getWriter (key: string): SegmentWriter {
    const existing = this.writers.get(key)
    if (existing !== undefined) return existing
    this.removeIdleWriters()
    const writer = new SegmentWriter(key, this.keyValue, this.clock, this.wait)
    this.writers.set(key, writer)
    return writer
  }

  /**
   * Removes idle writers, each of which caches a segment, once there are many. A writer becomes
   * idle soon after its time slice has passed.
   */
  private removeIdleWriters (): void {
    if (this.writers.size < claimConstants.WRITER_EVICTION_THRESHOLD) return
    for (const [key, writer] of this.writers) {
      if (writer.isIdle()) this.writers.delete(key)
    }
  }
}
