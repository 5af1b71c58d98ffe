import { stageConstants } from './constants.js'
import type { StageRelease } from './stageRelease.js'
import type { StageService } from './stageService.js'
import type { StageTask } from './stageTask.js'

/** Tracks the memory that stage results occupy at their upstreams, and the results to release. */
export class ResultTracker {
  /** Results to release, by the upstream that holds them. */
  private readonly releases = new Map<string, StageRelease>()
  /** Tasks whose inputs are being fetched by an upstream. */
  private readonly fetching = new Set<StageTask>()

  constructor (private readonly services: ReadonlyMap<string, StageService>) {}

  /** Marks all results of a task for release. */
  releaseTask (task: StageTask): void {
    if (task.isReleased) return
    task.releaseResults()
    for (const { pieceIndex } of task.listResults()) this.releasePiece(task, pieceIndex)
  }

  /** Marks the result of a piece for release. */
  releasePiece (task: StageTask, pieceIndex: number): void {
    const result = task.findResult(pieceIndex)
    if (result === undefined) return
    const { service, resultBytes } = task.work
    this.addRelease(service, result.upstreamId, result.handle, resultBytes)
  }

  addRelease (service: string, upstreamId: string, handle: string, bytes: number): void {
    const release = this.releases.get(upstreamId)
    this.releases.set(upstreamId, {
      service,
      upstreamId,
      handles: [...release?.handles ?? [], handle],
      bytes: (release?.bytes ?? 0) + bytes
    })
  }

  takeReleases (): readonly StageRelease[] {
    const releases = [...this.releases.values()]
    this.releases.clear()
    return releases
  }

  hasReleases (): boolean {
    return this.releases.size > 0
  }

  /** Counts memory of an upstream as free again. */
  releaseMemory (service: string, upstreamId: string, bytes: number): void {
    const upstream = this.services.get(service)?.upstreams.get(upstreamId)
    if (upstream !== undefined) upstream.reservedResultBytes = Math.max(0, upstream.reservedResultBytes - bytes)
  }

  /** Adds a task whose pieces were sent in a call: the upstream now fetches their inputs. */
  addFetchingTask (task: StageTask): void {
    this.fetching.add(task)
  }

  hasFetchingTasks (): boolean {
    return this.fetching.size > 0
  }

  /** Releases the inputs of a task that is done, once no other task needs them. */
  releaseUsedInputs (task: StageTask): void {
    if (!task.isDone()) return
    const { jobState } = task
    for (const input of jobState.listInputTasks(task)) {
      if (!input.isReleased && jobState.listDependents(input).every(follower => follower.isDone())) this.releaseTask(input)
    }
  }

  /** Releases results that the next stage has fetched where result memory is scarce: the memory limits the size of calls. */
  releaseFetchedInputs (nowMs: number): void {
    for (const task of this.fetching) {
      if (task.jobState.isEnded || task.isDone()) {
        this.fetching.delete(task)
        continue
      }
      if (!task.hasFetchedInputs(nowMs, stageConstants.inputFetchMs) || !this.isMemoryScarce(task)) continue
      this.fetching.delete(task)
      for (const input of task.jobState.listInputTasks(task)) {
        const isFetched = task.jobState.listDependents(input).every(follower => follower.hasFetchedInputs(nowMs, stageConstants.inputFetchMs))
        if (isFetched && !input.isReleased) this.releaseTask(input)
      }
    }
  }

  /**
   * Whether an upstream that holds inputs of the task lacks the memory for another full call. Elsewhere inputs are kept
   * until the call ends, because a failed call needs them again.
   */
  private isMemoryScarce (task: StageTask): boolean {
    return task.jobState.listInputTasks(task).some(input => {
      const service = this.services.get(input.work.service)
      if (service === undefined || input.isReleased) return false
      const neededBytes = service.spec.batchSize * input.work.resultBytes
      return input.listResults().some(({ upstreamId }) => {
        const reservedBytes = service.upstreams.get(upstreamId)?.reservedResultBytes ?? 0
        return reservedBytes + neededBytes > service.usableRoomBytes
      })
    })
  }
}
