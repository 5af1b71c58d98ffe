import type { AdmissionRequest } from '../../types/admissionRequest.js'
import { peerMethods } from '../peers/peerMethods.js'
import { AnswerStreamServer } from './answerStreamServer.js'
import { AttemptStarter } from './attemptStarter.js'
import { buildAdmissionRequest } from './buildAdmissionRequest.js'
import { requestConstants } from './constants.js'
import { DirectoryClient } from './directoryClient.js'
import { HandOver } from './handOver.js'
import { hashBody } from './hashBody.js'
import { isFirstSubmission } from './isFirstSubmission.js'
import { LatencyModel } from './latencyModel.js'
import { PendingAttempts } from './pendingAttempts.js'
import { registerPeerHandlers } from './registerPeerHandlers.js'
import { AnswerRelay } from './answerRelay.js'
import { RequestDirectory } from './requestDirectory.js'
import { RequestEntry } from './requestEntry.js'
import { RequestError } from './requestError.js'
import { RequestExecutor } from './requestExecutor.js'
import { RequestRegistrar } from './requestRegistrar.js'
import { RequestRegistry } from './requestRegistry.js'
import { RequestSampler } from './requestSampler.js'
import type { RequestServiceOptions } from './requestServiceOptions.js'
import type { Submission } from './submission.js'
import { TokenModel } from './tokenModel.js'

/** The request path of one host: submission, join, cancellation, directory and hand-over. */
export class RequestService {
  private readonly registry: RequestRegistry
  private readonly directory = new RequestDirectory()
  private readonly directoryClient: DirectoryClient
  private readonly tokens = new TokenModel()
  private readonly feed: AnswerRelay
  private readonly executor: RequestExecutor
  private readonly registrar: RequestRegistrar
  private readonly sampler: RequestSampler
  private readonly handOverSender: HandOver
  private refusal: (() => RequestError) | undefined

  constructor (private readonly options: RequestServiceOptions) {
    const { clock, metrics, membership, transport, router, upstreams } = options
    this.registry = new RequestRegistry(options.finishedRetentionMs, options.finishedRetentionBytes)
    this.directoryClient = new DirectoryClient(this.directory, membership, transport, clock)
    this.feed = new AnswerRelay(transport)
    const pending = new PendingAttempts(() => metrics.addCount('lycheetrack_answers_dropped_total', {}))
    const callIdScope = `${membership.getSelf().id}.${Math.round(clock.readWallMs()).toString(36)}`
    const pipeline = { callIdScope, router, clock, attempts: new AttemptStarter(upstreams, pending), latencies: new LatencyModel(), tokens: this.tokens }
    this.executor = new RequestExecutor({ ...options, directory: this.directoryClient, relay: this.feed, pipeline })
    this.registrar = new RequestRegistrar({ clock, membership, registry: this.registry, directory: this.directoryClient })
    this.sampler = new RequestSampler(options)
    this.handOverSender = new HandOver({ clock, membership, transport, registry: this.registry, directory: this.directory, directoryClient: this.directoryClient, relay: this.feed })
    registerPeerHandlers({
      transport,
      clock,
      directory: this.directory,
      answers: new AnswerStreamServer(this.registry),
      handOver: this.handOverSender,
      cancel: (account, requestId) => this.cancelLocal(account, requestId) !== undefined
    })
  }

  start (): void {
    this.registrar.start()
  }

  stop (): void {
    this.registrar.stop()
    for (const entry of this.registry.list()) entry.stop(new RequestError('host_stopped', 'the host stops', 503, 'unknown'))
  }

  /** Requests that are running on this host, as their owner or as a relay. */
  get runningCount (): number {
    return this.registry.runningCount
  }

  /**
   * Starts the request, or joins it when the same account has submitted the same id before. Throws
   * `RequestError`; later failures end the answer log of the entry.
   */
  async receive (submission: Submission): Promise<RequestEntry> {
    const { account, requestId } = submission
    const bodyHash = hashBody(submission.kind, submission.input)
    const known = this.findSame(account, requestId, bodyHash)
    if (known !== undefined) return known
    const receivedMs = this.options.clock.readMonotonicMs()
    if (this.options.waitForCredit !== undefined) {
      await this.options.waitForCredit(account, requestConstants.creditWaitMs)
      // The same request may have come in over another connection meanwhile.
      const sameMeanwhile = this.findSame(account, requestId, bodyHash)
      if (sameMeanwhile !== undefined) return sameMeanwhile
    }
    if (this.refusal !== undefined) return await this.joinOrRefuse(submission, bodyHash, receivedMs, this.refusal())
    const admission = buildAdmissionRequest(submission, this.tokens)
    const decision = this.options.admission.admit(admission, receivedMs)
    if (!decision.admitted) {
      const status = decision.reason === 'limit_reached' ? 429 : 503
      const refusal = new RequestError(decision.reason, 'the request was not admitted', status, 'not_run', { retryAfterMs: decision.retryAfterMs })
      return await this.joinOrRefuse(submission, bodyHash, receivedMs, refusal, admission)
    }
    return this.startRequest(submission, bodyHash, admission, receivedMs)
  }

  /** The request of an account by id, wherever it runs; undefined when no host knows it. */
  async findRequest (account: string, requestId: string): Promise<RequestEntry | undefined> {
    const known = this.findUsable(account, requestId)
    if (known !== undefined) return known
    const found = await this.directoryClient.find(account, requestId)
    if (found === undefined || !this.isReachable(found.ownerId)) return undefined
    return this.findUsable(account, requestId) ?? this.joinRequest(account, requestId, found.bodyHash, found.ownerId)
  }

  /** Cancels a request wherever it runs. False when no host knows it. Throws `RequestError`. */
  async cancel (account: string, requestId: string): Promise<boolean> {
    const local = this.cancelLocal(account, requestId)
    if (local !== undefined && local.role !== 'joined') return true
    const found = await this.directoryClient.find(account, requestId)
    const owner = found === undefined ? undefined : this.options.membership.find(found.ownerId)
    if (owner === undefined || owner.id === this.options.membership.getSelf().id) return local !== undefined
    const answer = await this.options.transport.send(owner.peerAddress, peerMethods.cancelRequest, { account, requestId }, requestConstants.cancelTimeoutMs)
    return answer.found === true || local !== undefined
  }

  /** From now on refuses new requests with the error that `buildRefusal` makes; joins go on. */
  refuseNew (buildRefusal: () => RequestError): void {
    this.refusal = buildRefusal
  }

  /** Repeats the registrations of running requests, as after a pause of the process. */
  async registerAgain (): Promise<void> {
    await this.registrar.registerRunning()
  }

  /** Resolves when nothing runs and all outcomes are recorded. */
  async waitIdle (): Promise<void> {
    await this.registry.waitIdle()
    await this.executor.waitIdle()
  }

  /** Hands directory entries and finished answers to the hosts that are next for them. */
  async sendHandOver (): Promise<void> {
    await this.handOverSender.sendAll()
  }

  private async runEntry (entry: RequestEntry, submission: Submission, admission: AdmissionRequest, receivedMs: number): Promise<void> {
    const report = await this.executor.run(entry, submission, receivedMs + submission.deadlineMs)
    const end = await entry.log.waitForEnd()
    this.sampler.recordFinished(submission, admission, receivedMs, end, report)
    this.settleEntry(entry)
  }

  /** Failures are forgotten, so that the same id can be submitted again; claims keep those of single calls. */
  private settleEntry (entry: RequestEntry): void {
    if (entry.log.end?.kind === 'done' || entry.isCancelledByCaller) this.registry.onFinished(entry, this.options.clock.readMonotonicMs())
    else this.registry.remove(entry)
  }

  /**
   * A refused submission may be a second one of a request that runs elsewhere: that one is joined, and
   * `not_run` is said only when the directory is sure that there is none. With `admission`, a registered
   * request is also taken over when its owner is lost: it was admitted when it began, and a refusal now
   * would cut it off.
   */
  private async joinOrRefuse (submission: Submission, bodyHash: string, receivedMs: number, refusal: RequestError, admission?: AdmissionRequest): Promise<RequestEntry> {
    const { account, requestId } = submission
    if (submission.isIdFromCaller) {
      const found = await this.directoryClient.find(account, requestId, requestConstants.refusalLookupTimeoutMs)
      const known = this.findUsable(account, requestId)
      if (known !== undefined && known.identity.bodyHash === bodyHash) return known
      const isRegistered = found !== undefined && found.ownerId !== '' && found.bodyHash === bodyHash
      if (isRegistered && admission !== undefined) return this.startRequest(submission, bodyHash, admission, receivedMs)
      if (isRegistered && this.isReachable(found.ownerId)) {
        return this.joinRequest(account, requestId, bodyHash, found.ownerId)
      }
      if (found === undefined || found.ownerId !== '' || !isFirstSubmission(requestId, receivedMs, this.options.clock)) {
        refusal = new RequestError(refusal.code, refusal.message, refusal.httpStatus, 'unknown', refusal.details)
      }
    }
    this.sampler.recordRefused(submission, receivedMs, refusal.code)
    throw refusal
  }

  private startRequest (submission: Submission, bodyHash: string, admission: AdmissionRequest, receivedMs: number): RequestEntry {
    const { account, requestId } = submission
    const entry = new RequestEntry({ account, requestId, bodyHash }, this.options.abandonGraceMs)
    entry.updateState('admit')
    this.registry.add(entry)
    this.runEntry(entry, submission, admission, receivedMs).catch(error => this.options.logger.recordError('request lost', { requestId, reason: String(error) }))
    return entry
  }

  private joinRequest (account: string, requestId: string, bodyHash: string, ownerId: string): RequestEntry {
    const entry = new RequestEntry({ account, requestId, bodyHash }, this.options.abandonGraceMs)
    entry.updateState('admit')
    entry.role = 'joined'
    this.registry.add(entry)
    this.executor.join(entry, ownerId).then(() => this.settleEntry(entry)).catch(() => {})
    return entry
  }

  private findUsable (account: string, requestId: string): RequestEntry | undefined {
    const entry = this.registry.find(account, requestId)
    return entry === undefined || (entry.isStopped && !entry.isEnded) ? undefined : entry
  }

  /** The request with this id on this host; throws `RequestError` when it has another body. */
  private findSame (account: string, requestId: string, bodyHash: string): RequestEntry | undefined {
    const known = this.findUsable(account, requestId)
    if (known === undefined || known.identity.bodyHash === '' || known.identity.bodyHash === bodyHash) return known
    throw new RequestError('request_id_reused', 'the request id belongs to a request with another body', 409, 'not_run')
  }

  private isReachable (ownerId: string): boolean {
    const owner = this.options.membership.find(ownerId)
    return owner !== undefined && owner.state !== 'dead' && ownerId !== this.options.membership.getSelf().id
  }

  private cancelLocal (account: string, requestId: string): RequestEntry | undefined {
    const entry = this.findUsable(account, requestId)
    if (entry === undefined || entry.isEnded || entry.role === 'joined') return entry
    if (!entry.isAbandonable) throw new RequestError('request_not_cancellable', 'the call may have been sent and runs at most once', 409, 'unknown')
    entry.isCancelledByCaller = true
    entry.stop(new RequestError('request_cancelled', 'the request was cancelled', 499, 'unknown'))
    return entry
  }
}
