import { stageConstants } from './constants.js'
import type { StageRelease } from './stageRelease.js'
import type { StageService } from './stageService.js'
import type { StageTask } from './stageTask.js'

/** Keeps account of the memory that stage results take at their upstreams, and of the results to release. */
export class ResultTracker {
  /** Results that are no longer needed, by the upstream that holds them. */
  private readonly releases = new Map<string, StageRelease>()
  /** Tasks whose inputs are being fetched. */
  private readonly fetching = new Set<StageTask>()

  constructor (private readonly services: ReadonlyMap<string, StageService>) {}

  /** Releases all results of a task. */
  releaseTask (task: StageTask): void {
    task.isReleased = true
    task.handles.forEach((handle, i) => {
      const maker = task.resultUpstreamIds[i]
      if (handle !== undefined && maker !== undefined) this.addRelease(task.work.service, maker, handle, task.work.resultBytes)
      task.resultUpstreamIds[i] = undefined
    })
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

  /** Memory of an upstream is free again. */
  releaseMemory (service: string, upstreamId: string, bytes: number): void {
    const upstream = this.services.get(service)?.upstreams.get(upstreamId)
    if (upstream !== undefined) upstream.reservedResultBytes = Math.max(0, upstream.reservedResultBytes - bytes)
  }

  /** A call with pieces of the task was sent; its upstream fetches the inputs. */
  addFetchingTask (task: StageTask): void {
    this.fetching.add(task)
  }

  hasFetchingTasks (): boolean {
    return this.fetching.size > 0
  }

  /** Releases results that the next stage has fetched: memory for results bounds the size of calls. */
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

  /** Whether an upstream that holds inputs of the task has no memory for another full call; a failed call needs its inputs again. */
  private isMemoryScarce (task: StageTask): boolean {
    return task.jobState.listInputTasks(task).some(({ work, resultUpstreamIds: makers }) => {
      const service = this.services.get(work.service)
      if (service === undefined) return false
      const neededBytes = service.spec.batchSize * work.resultBytes
      return makers.some(maker => (service.upstreams.get(maker ?? '')?.reservedResultBytes ?? 0) + neededBytes > service.spec.resultRoomBytes)
    })
  }
}
