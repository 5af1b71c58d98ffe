import type { JobState } from './jobState.js'
import type { StageResult } from './stageResult.js'
import type { StageWork } from './stageWork.js'

/**
 * One stage of one job in the scheduler. Mutable; owned by the scheduler. Each piece waits, is in a call or has a
 * result. The task is in the queue of its service exactly while it is ready and has waiting pieces, and it is ready
 * only while all results of its input stages are there: when one of its own results is lost or released, the task ends
 * the turn of the tasks that depend on it.
 */
export class StageTask {
  /** Time at which the task became ready to be sent. */
  readyAtMs = 0
  /** Time that this stage and the longest chain of stages that depend on it take without queueing. */
  remainingMs = 0
  /** Time of the stages after this one, a part of `remainingMs`. */
  remainingAfterMs = 0
  /** Time at which a piece was last sent; undefined before the first one. */
  private sentAtMs: number | undefined
  private readonly waitingPieces: number[]
  /** By index of the piece. */
  private readonly results: Array<StageResult | undefined>
  private resultCount = 0
  private oldestResultAtMs = Infinity
  private inFlight = 0
  private hasTurn = false
  private areResultsReleased = false

  /** `queue` holds the tasks of the service that can be sent; undefined when the service is unknown. */
  constructor (
    readonly jobState: JobState,
    readonly work: StageWork,
    private readonly queue: Set<StageTask> | undefined
  ) {
    this.results = new Array(work.pieceCount)
    this.waitingPieces = Array.from({ length: work.pieceCount }, (_, i) => i)
  }

  /** Kind of the pieces for the estimate of their duration. */
  get pieceKind (): string {
    return `${this.jobState.job.route}:${this.work.index}`
  }

  /** Its turn has come, and the results of all its input stages are there. */
  get isReady (): boolean {
    return this.hasTurn
  }

  /** Indices of the pieces that are not in a call and have no result. */
  get pendingPieces (): readonly number[] {
    return this.waitingPieces
  }

  get piecesInFlight (): number {
    return this.inFlight
  }

  /** The results have been marked for release. */
  get isReleased (): boolean {
    return this.areResultsReleased
  }

  /** Time at which the oldest result arrived; infinite without results. */
  get oldestMadeAtMs (): number {
    return this.oldestResultAtMs
  }

  isDone (): boolean {
    return this.resultCount === this.work.pieceCount
  }

  /** Whether other stages can take all results of the task as inputs. */
  isAvailable (): boolean {
    return this.isDone() && !this.areResultsReleased
  }

  /** Whether all results that the task takes as inputs are there. */
  hasInputs (): boolean {
    return this.jobState.listInputTasks(this).every(input => input.isAvailable())
  }

  /** Handles of the results, in the order of the pieces; a piece without a result has none. */
  listHandles (): readonly string[] {
    return this.results.flatMap(result => result?.handle ?? [])
  }

  listResults (): readonly StageResult[] {
    return this.results.filter(result => result !== undefined)
  }

  /** Lists the failure domains of the upstreams that hold the results. */
  listDomains (): readonly string[] {
    return this.results.flatMap(result => result?.failureDomain ?? [])
  }

  findResult (pieceIndex: number): StageResult | undefined {
    return this.results[pieceIndex]
  }

  /** Queues the waiting pieces, unless results of input stages are missing. */
  startTurn (nowMs: number): void {
    if (!this.hasInputs()) return
    this.hasTurn = true
    this.readyAtMs = nowMs
    this.updateQueue()
  }

  /** Takes the task out of its queue until its next turn; its calls go on. */
  endTurn (): void {
    this.hasTurn = false
    this.updateQueue()
  }

  /** Moves a waiting piece to a call. */
  startPiece (pieceIndex: number, nowMs: number): void {
    this.waitingPieces.splice(this.waitingPieces.indexOf(pieceIndex), 1)
    this.inFlight++
    this.sentAtMs = nowMs
    this.updateQueue()
  }

  /** The call of a piece has ended; `addResult` or `retryPiece` follows, unless the job has ended. */
  endPiece (): void {
    this.inFlight--
  }

  addResult (result: StageResult): void {
    this.results[result.pieceIndex] = result
    this.resultCount++
    this.oldestResultAtMs = Math.min(this.oldestResultAtMs, result.madeAtMs)
  }

  /** Queues a piece again that failed or whose result is lost. */
  retryPiece (pieceIndex: number): void {
    if (this.results[pieceIndex] !== undefined) this.resultCount--
    this.results[pieceIndex] = undefined
    this.oldestResultAtMs = Math.min(Infinity, ...this.listResults().map(({ madeAtMs }) => madeAtMs))
    this.waitingPieces.push(pieceIndex)
    this.updateQueue()
    this.endTurnsOfDependents()
  }

  /** Queues the pieces again whose results were released; the task waits for its next turn. */
  retryReleased (): void {
    this.areResultsReleased = false
    this.endTurn()
    for (const { pieceIndex } of this.listResults()) this.retryPiece(pieceIndex)
  }

  /** Marks the results as released: no stage takes them as inputs any more. */
  releaseResults (): void {
    this.areResultsReleased = true
    this.endTurnsOfDependents()
  }

  /** Whether the upstreams have fetched the inputs of all pieces. */
  hasFetchedInputs (nowMs: number, fetchMs: number): boolean {
    if (this.waitingPieces.length > 0) return false
    return this.inFlight === 0 || (this.sentAtMs !== undefined && nowMs - this.sentAtMs >= fetchMs)
  }

  /** Time that is left for this stage if the stages after it are to be done by the deadline of the job. */
  computeTimeLeftMs (nowMs: number): number {
    return this.jobState.job.deadlineAtMs - this.remainingAfterMs - nowMs
  }

  private endTurnsOfDependents (): void {
    for (const dependent of this.jobState.listDependents(this)) dependent.endTurn()
  }

  private updateQueue (): void {
    if (this.hasTurn && this.waitingPieces.length > 0) this.queue?.add(this)
    else this.queue?.delete(this)
  }
}
