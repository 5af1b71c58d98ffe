import { crashConstants } from './constants.js'
import type { SuspectRefusal } from './suspectRefusal.js'
import type { SuspectKind } from './suspectKind.js'

/** The end of an upstream, with what may have caused it. */
interface SuspectCrash {
  readonly instance: string
  readonly ids: readonly string[]
  /** Digest of the request that was about to be answered; undefined when the host that reports it sends none. */
  readonly requestHash?: string
  /** Rounds of crashes under each of `ids` that the host which reports it had seen, this one included. */
  readonly rounds?: readonly number[]
}

interface SuspectReport {
  readonly crashes: readonly SuspectCrash[]
  /** Suspects to which an answer has begun since. */
  readonly soundIds: readonly string[]
}

interface SuspectRecord {
  /** Instances of upstreams that ended since an answer last began, with the digest of the request in progress. */
  readonly instances: Map<string, string | undefined>
  /** Groups of these crashes that came within `roundMs`: a common cause may have ended the upstreams of one round. */
  rounds: number
  roundStartedAtMs: number
  lastCrashAtMs: number
  /** Time of the newest report about it. */
  reportedAtMs: number
  /** Whether the store may have lost the reports about it. */
  hasLostReports: boolean
}

/**
 * Evidence of all hosts on the prompt parts, or on the requests, that end upstreams. An upstream that ends accuses what
 * it was about to answer; the beginning of an answer clears it. Answers the load of a part that ends each upstream it
 * reaches, among requests that share its other parts, of a request that is sent again and again, and of crashes for
 * other reasons, which accuse what is sound as well. Times are on the monotonic clock of this host.
 */
export class SuspectRecords {
  /** The least recently used one first. */
  private readonly suspects = new Map<string, SuspectRecord>()
  /** Time at which an answer to a part last began, the earliest one first. Requests are not remembered as sound. */
  private readonly soundAtMs = new Map<string, number>()

  constructor (private readonly kind: SuspectKind) {}

  /** Whether there is anything that a request could be compared with. */
  hasSuspects (): boolean {
    return this.suspects.size > 0
  }

  /** Records that an upstream has begun an answer. Returns what was suspected until now. */
  recordAnswer (ids: readonly string[], nowMs: number): readonly string[] {
    if (this.kind === 'part') {
      for (const id of ids) {
        this.soundAtMs.delete(id)
        this.soundAtMs.set(id, nowMs)
      }
      removeOldest(this.soundAtMs, crashConstants.maxSoundParts)
    }
    return ids.filter(id => this.suspects.delete(id))
  }

  /**
   * Parts of a request that may have ended its upstream. A part that is refused already explains the end; otherwise the
   * parts that never let an answer begin do, or else those on which none has begun lately.
   */
  listSuspects (partIds: readonly string[], nowMs: number): readonly string[] {
    const refused = partIds.filter(id => this.findSuspectRefusal(id, nowMs) !== undefined)
    if (refused.length > 0) return refused
    const unknown = partIds.filter(id => !this.isSound(id, nowMs))
    if (unknown.length > 0) return unknown
    return partIds.filter(id => this.soundAtMs.get(id)! < nowMs - crashConstants.recentlySoundMs)
  }

  recordCrash (crash: SuspectCrash, nowMs: number): void {
    for (const index of crash.ids.keys()) this.recordSuspectCrash(crash, index, nowMs)
    removeOldest(this.suspects, crashConstants.maxSuspects)
  }

  /** Rounds of crashes under a suspect, as far as this host knows. */
  countRounds (id: string): number {
    return this.suspects.get(id)?.rounds ?? 0
  }

  /** Applies a report of any host. Reports are applied in the order in which the store accepted them. */
  applyReport (report: SuspectReport, nowMs: number): void {
    this.recordAnswer(report.soundIds, nowMs)
    for (const crash of report.crashes) this.recordCrash(crash, nowMs)
  }

  /** The refused suspect with the longest time until its trial; undefined when the request may be sent. */
  findRefusal (ids: readonly string[], nowMs: number): SuspectRefusal | undefined {
    let longest: SuspectRefusal | undefined
    for (const id of ids) {
      const refusal = this.findSuspectRefusal(id, nowMs)
      if (refusal !== undefined && (longest === undefined || refusal.trialInMs > longest.trialInMs)) longest = refusal
    }
    return longest
  }

  /** Crashes of a refused suspect that have to be reported again, before the reports about it expire in the store. */
  takeExpiringCrashes (id: string, nowMs: number): readonly SuspectCrash[] {
    const record = this.suspects.get(id)
    if (record === undefined) return []
    // What requests still ask for is remembered the longest.
    this.suspects.delete(id)
    this.suspects.set(id, record)
    if (!record.hasLostReports && nowMs - record.reportedAtMs < crashConstants.reportRefreshMs) return []
    record.reportedAtMs = nowMs
    record.hasLostReports = false
    return [...record.instances].map(([instance, requestHash]) => ({ instance, ids: [id], requestHash }))
  }

  /** Lets all crashes be reported again, because the store may have lost the reports about them. */
  setReportsLost (): void {
    for (const record of this.suspects.values()) record.hasLostReports = true
  }

  private recordSuspectCrash ({ instance, ids, requestHash, rounds }: SuspectCrash, index: number, nowMs: number): void {
    const id = ids[index]!
    const reportedRounds = rounds?.[index] ?? 0
    const record = this.suspects.get(id) ?? createRecord(nowMs)
    record.reportedAtMs = nowMs
    this.suspects.delete(id)
    this.suspects.set(id, record)
    // A host has reported a known crash again, and all others of this suspect with it.
    if (record.instances.has(instance)) record.hasLostReports = false
    if (!record.instances.has(instance) && record.instances.size < crashConstants.maxCrashesPerSuspect) {
      record.instances.set(instance, requestHash)
      record.lastCrashAtMs = nowMs
      if (record.rounds === 0 || nowMs - record.roundStartedAtMs >= crashConstants.roundMs) {
        record.rounds++
        record.roundStartedAtMs = nowMs
      }
    }
    // A host that has just started learns of crashes of many rounds at once.
    record.rounds = Math.max(record.rounds, Math.min(reportedRounds, crashConstants.maxCrashesPerSuspect))
  }

  private findSuspectRefusal (id: string, nowMs: number): SuspectRefusal | undefined {
    const record = this.suspects.get(id)
    if (record === undefined) return undefined
    const { crashesToRefuse, crashesToRefuseSound, requestsToRefusePart } = crashConstants
    const crashCount = record.instances.size
    const bound = this.isSound(id, nowMs) ? crashesToRefuseSound : crashesToRefuse
    if (crashCount < bound) return undefined
    // One request that comes again and again says nothing of the parts that it shares with others.
    if (this.kind === 'part' && countRequests(record) < requestsToRefusePart) return undefined
    const delayMs = computeTrialDelayMs(record.rounds - bound)
    return { kind: this.kind, id, crashCount, trialInMs: Math.max(record.lastCrashAtMs + delayMs - nowMs, 0) }
  }

  private isSound (partId: string, nowMs: number): boolean {
    const atMs = this.soundAtMs.get(partId)
    return atMs !== undefined && atMs >= nowMs - crashConstants.soundMs
  }
}

function createRecord (nowMs: number): SuspectRecord {
  return {
    instances: new Map(),
    rounds: 0,
    roundStartedAtMs: nowMs,
    lastCrashAtMs: nowMs,
    reportedAtMs: nowMs,
    hasLostReports: false
  }
}

/** Different requests under which upstreams ended; each one without a digest counts as another. */
function countRequests ({ instances }: SuspectRecord): number {
  const hashes = [...instances.values()]
  return new Set(hashes.filter(hash => hash !== undefined)).size + hashes.filter(hash => hash === undefined).length
}

/**
 * A part that was refused by mistake returns soon; one that ended upstreams in more rounds is tried ever more rarely.
 */
function computeTrialDelayMs (excessRounds: number): number {
  const { settleMs, trialDelayMs, trialDelayFactor, maxTrialDelayMs } = crashConstants
  if (excessRounds <= 0) return settleMs
  return Math.min(trialDelayMs * trialDelayFactor ** (excessRounds - 1), maxTrialDelayMs)
}

function removeOldest (map: Map<string, unknown>, maxSize: number): void {
  for (const key of map.keys()) {
    if (map.size <= maxSize) return
    map.delete(key)
  }
}
