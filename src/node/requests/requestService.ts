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

/** Entry point for requests on a host: submission, joining, cancellation, the directory and handover. */
export class RequestService {
  private readonly registry: RequestRegistry
  private readonly directory = new RequestDirectory()
  private readonly directoryClient: DirectoryClient
  private readonly tokens = new TokenModel()
  private readonly relay: AnswerRelay
  private readonly executor: RequestExecutor
  private readonly registrar: RequestRegistrar
  private readonly sampler: RequestSampler
  private readonly handOver: HandOver
  private refusal: (() => RequestError) | undefined

  constructor (private readonly options: RequestServiceOptions) {
    const { clock, metrics, membership, transport, router, upstreams } = options
    this.registry = new RequestRegistry(options.finishedRetentionMs, options.finishedRetentionBytes)
    this.directoryClient = new DirectoryClient(this.directory, membership, transport, clock)
    this.relay = new AnswerRelay(transport)
    const pending = new PendingAttempts(() => metrics.addCount('lycheetrack_answers_dropped_total', {}))
    // Makes call ids unique across hosts and across restarts of this host.
    const callIdScope = `${membership.getSelf().id}.${Math.round(clock.readWallMs()).toString(36)}`
    const pipeline = { callIdScope, router, clock, attempts: new AttemptStarter(upstreams, pending), latencies: new LatencyModel(), tokens: this.tokens }
    this.executor = new RequestExecutor({ ...options, directory: this.directoryClient, relay: this.relay, pipeline })
    this.registrar = new RequestRegistrar({ clock, membership, registry: this.registry, directory: this.directoryClient })
    this.sampler = new RequestSampler(options)
    this.handOver = new HandOver({ clock, membership, transport, registry: this.registry, directory: this.directory, directoryClient: this.directoryClient, relay: this.relay })
    registerPeerHandlers({
      transport,
      clock,
      directory: this.directory,
      answers: new AnswerStreamServer(this.registry),
      handOver: this.handOver,
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

  /** Number of requests that this host runs or relays. */
  get runningCount (): number {
    return this.registry.runningCount
  }

  /**
   * Starts a request, or joins it when the same account has submitted the same id before. Throws `RequestError` when the
   * request is refused; later failures end the entry's answer log.
   */
  async receive (submission: Submission): Promise<RequestEntry> {
    const { account, requestId } = submission
    const bodyHash = hashBody(submission.kind, submission.input)
    const known = this.findSameRequest(account, requestId, bodyHash)
    if (known !== undefined) return known
    const receivedMs = this.options.clock.readMonotonicMs()
    if (this.options.waitForCredit !== undefined) {
      // Waits for this host's share of the account's limit.
      await this.options.waitForCredit(account, requestConstants.creditWaitMs)
      // The same request may have been received on another connection in the meantime.
      const concurrentEntry = this.findSameRequest(account, requestId, bodyHash)
      if (concurrentEntry !== undefined) return concurrentEntry
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

  /** Finds a request of an account by id on any host; undefined when no host knows it. */
  async findRequest (account: string, requestId: string): Promise<RequestEntry | undefined> {
    const known = this.findJoinableEntry(account, requestId)
    if (known !== undefined) return known
    const found = await this.directoryClient.find(account, requestId)
    if (found === undefined || !this.isOwnerReachable(found.ownerId)) return undefined
    return this.findJoinableEntry(account, requestId) ?? this.joinRequest(account, requestId, found.bodyHash, found.ownerId)
  }

  /**
   * Cancels a request on any host. Returns false when no host knows it, and true when it has already ended. Throws
   * `RequestError` when it cannot be cancelled.
   */
  async cancel (account: string, requestId: string): Promise<boolean> {
    const local = this.cancelLocal(account, requestId)
    // An entry that is not joined has been cancelled now or had already ended. A joined one is cancelled at its owner.
    if (local !== undefined && local.role !== 'joined') return true
    const found = await this.directoryClient.find(account, requestId)
    const owner = found === undefined ? undefined : this.options.membership.find(found.ownerId)
    if (owner === undefined || owner.id === this.options.membership.getSelf().id) return local !== undefined
    const answer = await this.options.transport.send(owner.peerAddress, peerMethods.cancelRequest, { account, requestId }, requestConstants.cancelTimeoutMs)
    return answer.found === true || local !== undefined
  }

  /**
   * Refuses new requests from now on with the error that `buildRefusal` returns. Running requests can still be
   * joined.
   */
  refuseNew (buildRefusal: () => RequestError): void {
    this.refusal = buildRefusal
  }

  /** Repeats the registrations of running requests, as after a freeze of the process. */
  async registerAgain (): Promise<void> {
    await this.registrar.registerRunning()
  }

  /** Resolves when no request is running and no outcome is still being recorded. */
  async waitIdle (): Promise<void> {
    await this.registry.waitIdle()
    await this.executor.waitIdle()
  }

  /** Transfers directory entries and finished answers to the hosts that become responsible for them. */
  async sendHandOver (): Promise<void> {
    await this.handOver.sendAll()
  }

  private async runEntry (entry: RequestEntry, submission: Submission, admission: AdmissionRequest, receivedMs: number): Promise<void> {
    const report = await this.executor.run(entry, submission, receivedMs + submission.deadlineMs)
    const end = await entry.log.waitForEnd()
    this.sampler.recordFinished(submission, admission, receivedMs, end, report)
    this.settleEntry(entry)
  }

  /**
   * Keeps finished and cancelled requests. Failed ones are removed, so that the id can be submitted again; claims
   * keep the outcomes of at-most-once calls.
   */
  private settleEntry (entry: RequestEntry): void {
    if (entry.log.end?.kind === 'done' || entry.isCancelledByCaller) this.registry.onFinished(entry, this.options.clock.readMonotonicMs())
    else this.registry.remove(entry)
  }

  /**
   * A refused submission may be a retry of a request that runs on another host. If so, it joins that request;
   * `not_run` is reported only when the directory confirms that no host runs the request. With `admission`, a
   * registered request is started on this host, and its registration decides whether this host joins the owner or takes
   * over from it. The lost owner had already admitted the request, so refusing it here would lose it.
   */
  private async joinOrRefuse (submission: Submission, bodyHash: string, receivedMs: number, refusal: RequestError, admission?: AdmissionRequest): Promise<RequestEntry> {
    const { account, requestId } = submission
    if (submission.isIdFromCaller) {
      const found = await this.directoryClient.find(account, requestId, requestConstants.refusalLookupTimeoutMs)
      const known = this.findJoinableEntry(account, requestId)
      if (known !== undefined && known.identity.bodyHash === bodyHash) return known
      // `found` is undefined when no directory host responded. An empty owner id means that those that did know no owner.
      const isRegistered = found !== undefined && found.ownerId !== '' && found.bodyHash === bodyHash
      if (isRegistered && admission !== undefined) return this.startRequest(submission, bodyHash, admission, receivedMs)
      if (isRegistered && this.isOwnerReachable(found.ownerId)) {
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
    this.runEntry(entry, submission, admission, receivedMs).catch(error => this.options.logger.recordError('failed to finish a request', { requestId, reason: String(error) }))
    return entry
  }

  private joinRequest (account: string, requestId: string, bodyHash: string, ownerId: string): RequestEntry {
    const entry = new RequestEntry({ account, requestId, bodyHash }, this.options.abandonGraceMs)
    entry.updateState('admit')
    entry.role = 'joined'
    this.registry.add(entry)
    // `join` never rejects: its failures end the answer log.
    this.executor.join(entry, ownerId).then(() => this.settleEntry(entry)).catch(() => {})
    return entry
  }

  /**
   * Finds the request on this host. A request that was stopped and whose answer has not ended is left out: it cannot be
   * joined, and a new submission replaces it.
   */
  private findJoinableEntry (account: string, requestId: string): RequestEntry | undefined {
    const entry = this.registry.find(account, requestId)
    return entry === undefined || (entry.isStopped && !entry.isEnded) ? undefined : entry
  }

  /** Finds the request with this id on this host. Throws `RequestError` when it has a different body. */
  private findSameRequest (account: string, requestId: string, bodyHash: string): RequestEntry | undefined {
    const known = this.findJoinableEntry(account, requestId)
    if (known === undefined || known.identity.bodyHash === '' || known.identity.bodyHash === bodyHash) return known
    throw new RequestError('request_id_reused', 'the request id belongs to a request with another body', 409, 'not_run')
  }

  private isOwnerReachable (ownerId: string): boolean {
    const owner = this.options.membership.find(ownerId)
    return owner !== undefined && owner.state !== 'dead' && ownerId !== this.options.membership.getSelf().id
  }

  /**
   * Cancels the request if this host runs it. Returns the entry on this host, if any: one that has ended or is joined
   * is returned unchanged. Throws `RequestError` for an at-most-once call that may have been sent.
   */
  private cancelLocal (account: string, requestId: string): RequestEntry | undefined {
    const entry = this.findJoinableEntry(account, requestId)
    if (entry === undefined || entry.isEnded || entry.role === 'joined') return entry
    if (!entry.isAbandonable) throw new RequestError('request_not_cancellable', 'the call may have been sent and runs at most once', 409, 'unknown')
    entry.isCancelledByCaller = true
    entry.stop(new RequestError('request_cancelled', 'the request was cancelled', 499, 'unknown'))
    return entry
  }
}
