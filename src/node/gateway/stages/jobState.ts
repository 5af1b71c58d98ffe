import { StageTask } from './stageTask.js'
import type { StageJob } from './stageJob.js'
import type { StageService } from './stageService.js'

interface StateOptions {
  readonly nowMs: number
  /** Expected duration of the job; undefined for a job that was accepted as late. */
  readonly expectedMs: number | undefined
  /** Place of the job in the order of the queues. */
  readonly sortKeyMs: number
  readonly services: ReadonlyMap<string, StageService>
}

/** A job in progress. Mutable; owned by the scheduler. */
export class JobState {
  readonly tasks: ReadonlyMap<number, StageTask>
  pieceFailures = 0
  /** Whether a call with a piece of the job was refused or lost. */
  hasFailedCall = false
  retries = 0
  isEnded = false
  /** At least one piece has been sent. */
  hasStarted = false
  /** Time at which all stages were done. */
  doneAtMs: number | undefined

  /** The job was accepted as late; jobs accepted as on time go before it. */
  get isLate (): boolean {
    return this.expectedMs === undefined
  }

  readonly startedAtMs: number
  readonly expectedMs: number | undefined
  readonly sortKeyMs: number

  constructor (readonly job: StageJob, { nowMs, expectedMs, sortKeyMs, services }: StateOptions) {
    this.startedAtMs = nowMs
    this.expectedMs = expectedMs
    this.sortKeyMs = sortKeyMs
    this.tasks = new Map(job.stages.map(stage => {
      return [stage.index, new StageTask(this, stage, services.get(stage.service)?.readyTasks)]
    }))
  }

  /** Tasks whose results are inputs of the task. */
  listInputTasks (task: StageTask): readonly StageTask[] {
    return task.work.after.map(index => this.tasks.get(index)).filter(input => input !== undefined)
  }

  /** Tasks that take the results of the task as inputs. */
  listDependents (task: StageTask): readonly StageTask[] {
    return [...this.tasks.values()].filter(other => other.work.after.includes(task.work.index))
  }

  isDone (): boolean {
    return [...this.tasks.values()].every(task => task.isDone())
  }

  /**
   * Whether the job cannot meet its deadline even if its waiting pieces are sent now. At a load peak, work waits until
   * shortly before its deadline; the calls of work that cannot end in time are lost to other work.
   */
  isOutOfTime (nowMs: number): boolean {
    if (this.isEnded || this.isDone()) return false
    const timeLeftMs = this.job.deadlineAtMs - nowMs
    if (timeLeftMs <= 0) return true
    const waiting = [...this.tasks.values()].filter(task => task.isReady && task.pendingPieces.length > 0)
    return waiting.some(task => task.remainingMs > timeLeftMs)
  }

  /** Time at which the oldest result arrived that is still held; infinite without one. */
  findOldestResultAtMs (): number {
    let oldestMs = Infinity
    for (const { isReleased, oldestMadeAtMs } of this.tasks.values()) {
      if (!isReleased) oldestMs = Math.min(oldestMs, oldestMadeAtMs)
    }
    return oldestMs
  }

  /** Tasks whose results no other stage takes: the inputs of the request itself. */
  listOutputTasks (): readonly StageTask[] {
    return [...this.tasks.values()].filter(task => this.listDependents(task).length === 0)
  }

  /** Longest chain of unfinished stages, by number of stages. */
  listCriticalPath (): readonly StageTask[] {
    let longest: readonly StageTask[] = []
    for (const task of this.tasks.values()) {
      const chain = this.findLongestChain(task)
      if (chain.length > longest.length) longest = chain
    }
    return longest
  }

  /** Longest chain of unfinished stages that ends with the task. */
  private findLongestChain (task: StageTask): readonly StageTask[] {
    if (task.isDone()) return []
    let longest: readonly StageTask[] = []
    for (const input of this.listInputTasks(task)) {
      const chain = this.findLongestChain(input)
      if (chain.length > longest.length) longest = chain
    }
    return [...longest, task]
  }
}
