import { createSeededRandom } from '../../../../shared/createSeededRandom.js'
import { loadPeakModel } from './loadPeakModel.js'
import { stageConstants } from '../constants.js'
import { StageScheduler } from '../stageScheduler.js'
import type { LoadPeakClass } from './loadPeakClass.js'
import type { LoadPeakFigures } from './loadPeakFigures.js'
import type { StageCall } from '../stageCall.js'
import type { StagePiece } from '../../model/stagePiece.js'
import type { StagePieceResult } from '../../model/stagePieceResult.js'

interface LoadPeakOptions {
  readonly seed: number
  /** Load during the crest relative to the usual one, by class. */
  readonly crest: Readonly<Record<string, number>>
  readonly crestMs: number
  /** One upstream of each service is four times as slow for 3 s, another one ends with its results, and 1% of the answers are lost. */
  readonly hasFaults?: boolean
  /** Service that loses all but two of its upstreams for 3 s. */
  readonly lostService?: string
}

interface StoredResult {
  readonly upstreamId: string
  readonly bytes: number
  readonly pieceMs: number
  isUsed: boolean
}

interface Request {
  readonly id: string
  readonly kind: LoadPeakClass
  readonly sentAtMs: number
  readonly pieces: readonly number[]
  attempts: number
}

const crestStartMs = 4000
const endMs = 18_000
const linkMs = 2
/** Time from the end of the stages until the engine has fetched their results. */
const engineFetchMs = 150
/** Most times that a client sends a refused request again. */
const maxRepeats = 2
/** Sizes of results and durations of pieces vary by this share. */
const sizeSpread = 0.25
const workSpread = 0.2
/** Share of the answers that are lost on the way in a peak with faults. */
const lostAnswerShare = 0.01

/** Runs a load peak against a stage scheduler in virtual time, and counts what becomes of its requests and pieces. */
export function runLoadPeak ({ seed, crest, crestMs, hasFaults = false, lostService }: LoadPeakOptions): LoadPeakFigures {
  const random = createSeededRandom(seed)
  const events: Array<{ readonly atMs: number, readonly order: number, readonly run: () => void }> = []
  let nowMs = 0
  let order = 0
  const schedule = (delayMs: number, run: () => void): void => {
    const event = { atMs: nowMs + delayMs, order: order++, run }
    let i = events.length
    while (i > 0 && (events[i - 1]!.atMs < event.atMs)) i--
    // The next event is the last one of the list; events of one time run in the order in which they were scheduled.
    events.splice(i, 0, event)
  }
  const scheduler = new StageScheduler()
  const figures: LoadPeakFigures = {
    classes: Object.fromEntries(loadPeakModel.classes.map(({ name }) => [name, { sent: 0, onTime: 0, late: 0, refused: 0, failed: 0 }])),
    calls: 0,
    made: 0,
    unused: 0,
    wastedMs: 0,
    gone: 0,
    noRoom: 0,
    latePieces: 0,
    peakRoomShare: 0
  }
  const services = new Map(loadPeakModel.services.map(service => [service.name, service]))
  const results = new Map<string, StoredResult>()
  const usedBytes = new Map<string, number>()
  const requests = new Map<string, Request>()
  const goneUpstreamIds = new Set<string>()
  let nextHandle = 0
  let plannedAtMs = Infinity
  let isReleaseScheduled = false

  function applyUpstreams (): void {
    const specs = new Map(loadPeakModel.services.map(({ name, batchSize, callMs, pieceMs, resultRoomBytes }) => [name, {
      name,
      connectionLimit: 100,
      healthPath: '/health',
      stage: { concurrentCalls: 1, batchSize, callMs, pieceMs, resultRoomBytes, resultLifetimeMs: loadPeakModel.resultLifetimeMs }
    }]))
    scheduler.applyUpstreams(specs, service => Array.from({ length: services.get(service)!.upstreams }, (_, i) => ({
      id: `${service}-${i}`, service, address: '127.0.0.1:1', failureDomain: `domain-${i % 3}`, slots: 1, isDraining: false, version: 'v1', startedAtMs: 0
    })).filter(entry => !goneUpstreamIds.has(entry.id)))
  }

  function schedulePlanning (delayMs: number): void {
    const atMs = nowMs + delayMs
    if (plannedAtMs <= atMs) return
    plannedAtMs = atMs
    schedule(delayMs, () => { if (plannedAtMs === atMs) planCalls() })
  }

  function planCalls (): void {
    plannedAtMs = Infinity
    for (const call of scheduler.planCalls(nowMs)) sendCall(call)
    for (const { jobId, outcome } of scheduler.takeEndedJobs()) {
      const request = requests.get(jobId)!
      if (outcome.type === 'completed') schedule(engineFetchMs, () => { endRequest(request, jobId, outcome.outputs.flatMap(output => output.handles)) })
      else figures.classes[request.kind.name]!.failed++
    }
    scheduleRelease()
    const nextAtMs = scheduler.findNextPlanAtMs(nowMs)
    if (nextAtMs !== undefined) schedulePlanning(Math.max(nextAtMs - nowMs, 1))
  }

  function sendRequest (request: Request): void {
    const { kind, pieces, sentAtMs } = request
    const jobId = `${request.id}:${request.attempts++}`
    requests.set(jobId, request)
    const admission = scheduler.addJob({
      id: jobId,
      requestId: request.id,
      pieceKey: request.id,
      route: kind.name,
      stages: kind.stages.map(({ service }, index) => ({
        index, service, after: index === 0 ? [] : [index - 1], pieceCount: pieces[index]!, resultBytes: services.get(service)!.resultBytes
      })),
      targetAtMs: sentAtMs + kind.targetMs - engineFetchMs,
      deadlineAtMs: sentAtMs + kind.deadlineMs - engineFetchMs,
      priority: kind.priority,
      preferredDomain: '',
      prompt: { tokens: 0, parts: [] },
      isDeclinable: false
    }, nowMs)
    if (admission.isAccepted) return schedulePlanning(stageConstants.batchDelayMs)
    const hasTime = nowMs + admission.retryAfterMs < sentAtMs + kind.deadlineMs
    if (request.attempts <= maxRepeats && hasTime) schedule(admission.retryAfterMs, () => { sendRequest(request) })
    else figures.classes[kind.name]!.refused++
  }

  function endRequest ({ kind, sentAtMs }: Request, jobId: string, handles: readonly string[]): void {
    const counts = figures.classes[kind.name]!
    if (handles.some(handle => !results.has(handle))) counts.failed++
    else if (nowMs - sentAtMs <= kind.targetMs) counts.onTime++
    else counts.late++
    for (const handle of handles) recordUse(handle)
    scheduler.releaseJob(jobId)
    scheduleRelease()
  }

  function sendCall (call: StageCall): void {
    figures.calls++
    schedule(linkMs, () => { runCall(call) })
  }

  function runCall (call: StageCall): void {
    let hasEnded = false
    const end = (report: () => void): void => {
      if (hasEnded) return
      hasEnded = true
      report()
    }
    const onFailure = (mayHaveRun = true): void => {
      end(() => {
        scheduler.onCallFailed(call, nowMs, mayHaveRun)
        schedulePlanning(0)
      })
    }
    if (goneUpstreamIds.has(call.upstreamId)) return onFailure(false)
    schedule(call.timeoutMs, () => { onFailure() })
    const { callMs, pieceMs } = services.get(call.service)!
    const workMs = call.pieces.reduce(sum => sum + pieceMs * (1 - workSpread + 2 * workSpread * random()), callMs)
    const durationMs = workMs * computeSlowness(call.upstreamId)
    const answers = call.pieces.map((piece, i) => runPiece(call, piece, call.pieceRefs[i]!.task.work.resultBytes, durationMs))
    schedule(durationMs, () => {
      if (goneUpstreamIds.has(call.upstreamId)) return onFailure()
      for (const answer of answers) if ('handle' in answer) schedule(loadPeakModel.resultLifetimeMs, () => { removeResult(answer.handle) })
      const isLost = hasFaults && random() < lostAnswerShare
      if (isLost) return
      schedule(linkMs, () => {
        end(() => {
          scheduler.onCallAnswered(call, answers, nowMs)
          planCalls()
        })
      })
    })
  }

  function runPiece (call: StageCall, piece: StagePiece, meanBytes: number, durationMs: number): StagePieceResult {
    const { resultRoomBytes, pieceMs } = services.get(call.service)!
    const isGone = piece.inputs?.some(input => !results.has(input)) ?? false
    const bytes = meanBytes * (1 - sizeSpread + 2 * sizeSpread * random())
    const heldBytes = (usedBytes.get(call.upstreamId) ?? 0) + bytes
    if (isGone) return refusePiece('gone', 'input-gone')
    if (heldBytes > resultRoomBytes) return refusePiece('noRoom', 'no-room')
    for (const input of piece.inputs ?? []) recordUse(input)
    if (piece.timeLeftMs < durationMs) return refusePiece('latePieces', 'late')
    figures.made++
    figures.peakRoomShare = Math.max(figures.peakRoomShare, heldBytes / resultRoomBytes)
    usedBytes.set(call.upstreamId, heldBytes)
    const handle = `${call.upstreamId}/${nextHandle++}`
    results.set(handle, { upstreamId: call.upstreamId, bytes, pieceMs, isUsed: false })
    return { handle }
  }

  function refusePiece (count: 'gone' | 'noRoom' | 'latePieces', failure: 'input-gone' | 'no-room' | 'late'): StagePieceResult {
    figures[count]++
    return { failure }
  }

  function recordUse (handle: string): void {
    const result = results.get(handle)
    if (result !== undefined) result.isUsed = true
  }

  function removeResult (handle: string): void {
    const result = results.get(handle)
    if (result === undefined) return
    results.delete(handle)
    usedBytes.set(result.upstreamId, usedBytes.get(result.upstreamId)! - result.bytes)
    if (result.isUsed) return
    figures.unused++
    figures.wastedMs += result.pieceMs
  }

  function scheduleRelease (): void {
    if (isReleaseScheduled || !scheduler.hasReleases()) return
    isReleaseScheduled = true
    schedule(stageConstants.releaseDelayMs, () => {
      isReleaseScheduled = false
      for (const release of scheduler.takeReleases()) {
        schedule(linkMs, () => { release.handles.forEach(removeResult) })
        schedule(2 * linkMs, () => {
          scheduler.onReleased(release)
          schedulePlanning(0)
        })
      }
    })
  }

  function computeSlowness (upstreamId: string): number {
    const isSlow = hasFaults && upstreamId.endsWith('-1') && nowMs >= crestStartMs + 1000 && nowMs < crestStartMs + 4000
    return isSlow ? 4 : 1
  }

  function endUpstreams (ids: readonly string[], awayMs?: number): void {
    schedule(crestStartMs + 2000, () => {
      for (const id of ids) goneUpstreamIds.add(id)
      for (const [handle, { upstreamId }] of results) if (goneUpstreamIds.has(upstreamId)) removeResult(handle)
    })
    const onEntriesChanged = (): void => {
      applyUpstreams()
      schedulePlanning(0)
    }
    // Hosts learn of the end of an upstream by its entry in the store.
    schedule(crestStartMs + 2500, onEntriesChanged)
    if (awayMs === undefined) return
    schedule(crestStartMs + 2000 + awayMs, () => {
      for (const id of ids) goneUpstreamIds.delete(id)
      onEntriesChanged()
    })
  }

  function addArrivals (kind: LoadPeakClass): void {
    let atMs = 0
    for (let i = 0; ; i++) {
      const isCrest = atMs >= crestStartMs && atMs < crestStartMs + crestMs
      const rate = kind.requestsPerSecond / 1000 * (isCrest ? crest[kind.name] ?? 1 : 1)
      atMs += -Math.log(1 - random()) / rate
      if (atMs >= endMs) return
      const pieces = kind.stages.map(({ pieces: [least, most] }) => least + Math.floor(random() * (most - least + 1)))
      const request = { id: `${kind.name}-${i}`, kind, sentAtMs: atMs, pieces, attempts: 0 }
      figures.classes[kind.name]!.sent++
      schedule(atMs, () => { sendRequest(request) })
    }
  }

  applyUpstreams()
  loadPeakModel.classes.forEach(addArrivals)
  const upstreamIds = loadPeakModel.services.flatMap(({ name, upstreams }) => Array.from({ length: upstreams }, (_, i) => ({ name, i, id: `${name}-${i}` })))
  if (hasFaults) endUpstreams(upstreamIds.filter(({ i }) => i === 2).map(({ id }) => id))
  if (lostService !== undefined) endUpstreams(upstreamIds.filter(({ name, i }) => name === lostService && i > 1).map(({ id }) => id), 3000)
  for (let event = events.pop(); event !== undefined && event.atMs < endMs + 15_000; event = events.pop()) {
    nowMs = event.atMs
    event.run()
  }
  for (const handle of [...results.keys()]) removeResult(handle)
  return figures
}
