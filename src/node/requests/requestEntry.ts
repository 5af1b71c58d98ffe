import type { AnswerEnd } from './answerEnd.js'
import { AnswerLog } from './answerLog.js'
import { requestConstants } from './constants.js'
import { RequestError } from './requestError.js'
import type { RegistrationResult } from './registrationResult.js'
import type { RequestIdentity } from './requestIdentity.js'
import { requestTransitions } from './requestTransitions.js'
import type { ResumeHint } from './resumeHint.js'

/** One request on this host, which either owns it or relays the answer of its owner. */
export class RequestEntry {
  readonly log = new AnswerLog()
  role: 'starting' | 'owner' | 'joined' = 'starting'
  epoch = 0
  hint: ResumeHint | undefined
  /** The owner that a newer epoch belongs to, once this host has learned of it. */
  newOwner: RegistrationResult | undefined
  /** Ids of the directory hosts that know the present state. */
  directoryHostIds = ''
  /** False while the work must go on even if nobody waits for it. */
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

  /** True when the work was ended by a caller or because nobody waits, as opposed to by its own course. */
  get isStopped (): boolean {
    return this.stopReason !== undefined
  }

  /** Events that the present state does not expect change nothing. */
  updateState (event: 'admit' | 'run' | 'stream' | 'finish' | 'fail' | 'cancel'): void {
    this.lifecycleState = requestTransitions.get(this.lifecycleState)?.get(event) ?? this.lifecycleState
  }

  /** Signal of the present activity, local execution or relay; a new one replaces the one before. */
  startActivity (): AbortSignal {
    const controller = new AbortController()
    if (this.stopReason !== undefined) controller.abort(this.stopReason)
    this.controller = controller
    return controller.signal
  }

  stopActivity (reason: RequestError): void {
    this.controller?.abort(reason)
  }

  /** Must be called when the activity has ended; finished entries are kept in number and stay small. */
  endActivity (): void {
    this.controller = undefined
  }

  /** Ends the local execution because another host owns the request under a newer epoch. */
  applyNewOwner (owner: RegistrationResult): void {
    if (this.isEnded || this.role !== 'owner' || owner.epoch <= this.epoch) return
    this.newOwner = owner
    // The new owner may be reading the very stream that this host reads; only another one is cancelled.
    const isStreamShared = owner.hint === undefined || owner.hint.streamId === this.hint?.streamId
    const code = isStreamShared ? requestConstants.supersededCode : 'replaced'
    this.controller?.abort(new RequestError(code, `host ${owner.ownerId} has taken the request over`, 503, 'unknown'))
  }

  /** Ends the request for good. */
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

  /** Counts somebody who waits for the answer; the returned function must be called when they stop waiting. */
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
