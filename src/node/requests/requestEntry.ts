import type { AnswerEnd } from './answerEnd.js'
import { AnswerLog } from './answerLog.js'
import { requestConstants } from './constants.js'
import { RequestError } from './requestError.js'
import type { RegistrationResult } from './registrationResult.js'
import type { RequestIdentity } from './requestIdentity.js'
import { requestTransitions } from './requestTransitions.js'
import type { ResumeHint } from './resumeHint.js'

/** A request on this host, which either owns it or relays the answer from its owner. */
export class RequestEntry {
  readonly log = new AnswerLog()
  role: 'starting' | 'owner' | 'joined' = 'starting'
  epoch = 0
  hint: ResumeHint | undefined
  /** The owner of a newer epoch, once this host has learned of it. */
  newOwner: RegistrationResult | undefined
  /** Comma-separated ids of the directory hosts at which the entry is registered. */
  directoryHostIds = ''
  /** False while the request must keep running even if no caller waits for it. */
  isAbandonable = true
  isCancelledByCaller = false
  private lifecycleState = 'received'
  private controller: AbortController | undefined
  private stopReason: RequestError | undefined
  private activeWaiters = 0
  private abandonTimer: NodeJS.Timeout | undefined

  constructor (readonly identity: RequestIdentity, private readonly abandonGraceMs: number = requestConstants.abandonGraceMs) {}

  get state (): string {
    return this.lifecycleState
  }

  get isEnded (): boolean {
    return this.log.end !== undefined
  }

  get waiterCount (): number {
    return this.activeWaiters
  }

  /** True after `stop`: the request was cancelled, was abandoned by its callers or stops with the host. */
  get isStopped (): boolean {
    return this.stopReason !== undefined
  }

  /** Applies a lifecycle event; events without a transition from the current state are ignored. */
  updateState (event: 'admit' | 'run' | 'stream' | 'finish' | 'fail' | 'cancel'): void {
    this.lifecycleState = requestTransitions.get(this.lifecycleState)?.get(event) ?? this.lifecycleState
  }

  /** Starts a local execution or a relay and returns its abort signal. It replaces the previous activity. */
  startActivity (): AbortSignal {
    const controller = new AbortController()
    if (this.stopReason !== undefined) controller.abort(this.stopReason)
    this.controller = controller
    return controller.signal
  }

  stopActivity (reason: RequestError): void {
    this.controller?.abort(reason)
  }

  /** Must be called when the activity has ended. Releases its controller, since many finished entries are kept. */
  endActivity (): void {
    this.controller = undefined
  }

  /** Aborts the local execution because another host owns the request in a newer epoch. */
  applyNewOwner (owner: RegistrationResult): void {
    if (this.isEnded || this.role !== 'owner' || owner.epoch <= this.epoch) return
    this.newOwner = owner
    // The new owner may have resumed the stream that this host reads. Only a different stream is cancelled.
    const isStreamShared = owner.hint === undefined || owner.hint.streamId === this.hint?.streamId
    const code = isStreamShared ? requestConstants.supersededCode : 'replaced'
    this.controller?.abort(new RequestError(code, `host ${owner.ownerId} has taken the request over`, 503, 'unknown'))
  }

  /** Stops the request permanently: aborts the current activity and any later one. */
  stop (reason: RequestError): void {
    this.stopReason ??= reason
    this.controller?.abort(reason)
  }

  close (end: AnswerEnd): void {
    clearTimeout(this.abandonTimer)
    if (this.isEnded) return
    this.updateState(end.kind === 'done' ? 'finish' : end.code === 'request_cancelled' ? 'cancel' : 'fail')
    this.log.close(end)
  }

  /**
   * Adds a waiter for the answer. The returned function must be called when it stops waiting; the last one to stop
   * starts the abandon timer.
   */
  addWaiter (): () => void {
    this.activeWaiters++
    clearTimeout(this.abandonTimer)
    let isWaiting = true
    return () => {
      if (!isWaiting) return
      isWaiting = false
      if (--this.activeWaiters > 0 || this.isEnded || !this.isAbandonable) return
      this.abandonTimer = setTimeout(() => {
        if (this.isAbandonable) this.stop(new RequestError('request_cancelled', 'nobody waits for the answer', 499, 'unknown'))
      }, this.abandonGraceMs)
      this.abandonTimer.unref()
    }
  }
}
