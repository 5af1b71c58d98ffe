import { versionConstants } from './constants.js'
import type { Clock } from '../../../types/clock.js'
import type { StreamRecordIndex } from './streamRecordIndex.js'

interface VersionsOptions {
  readonly index: StreamRecordIndex
  /** Versions of the upstreams of a service that are not leaving, one for each upstream. */
  readonly listVersions: (service: string) => readonly string[]
  readonly clock: Clock
}

/** Tells which services have streams of several versions. */
export class ServiceVersions {
  /** Whether a service has records at other versions than its base version, and when this was looked up. */
  private readonly recorded = new Map<string, { readonly hasOthers: boolean, readonly atMs: number }>()

  constructor (private readonly options: VersionsOptions) {}

  /** Whether streams of a service begin at several versions, or did within the time in which they can be resumed. */
  hasSeveral (service: string): boolean {
    const base = this.options.index.findBase(service)?.version
    return this.options.listVersions(service).some(version => version !== base) || this.hasOtherRecords(service, base)
  }

  private hasOtherRecords (service: string, base: string | undefined): boolean {
    const { index, clock } = this.options
    const nowMs = clock.readMonotonicMs()
    const known = this.recorded.get(service)
    if (known !== undefined && nowMs - known.atMs < versionConstants.otherVersionsMs) return known.hasOthers
    const hasOthers = index.hasOtherVersion(service, base)
    this.recorded.set(service, { hasOthers, atMs: nowMs })
    return hasOthers
  }
}
