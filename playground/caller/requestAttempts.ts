import { setTimeout as waitMs } from 'node:timers/promises'
import type { Dispatcher } from 'undici'
import { v7 as createRequestId } from 'uuid'
import { AnswerCheck } from './answerCheck.js'
import type { CallerApiError } from './callerApiError.js'
import { AnswerReader } from './answerReader.js'
import type { CallerBehaviour } from './callerBehaviour.js'
import type { CallerRequest } from './callerRequest.js'
import type { ConnectionOutcome } from './connectionOutcome.js'
import { callerConstants } from './constants.js'
import type { RequestRecord } from './requestRecord.js'
import type { RouteSource } from './routeSource.js'

interface AttemptOptions {
  readonly request: CallerRequest
  readonly account: string
  readonly token: string
  readonly silenceMs: number
  readonly behaviour: CallerBehaviour
  readonly dispatcher: Dispatcher
  readonly routes: RouteSource
  /** Resolves after the simulated round-trip time between the caller and the entry hosts. */
  readonly waitForLinkDelay: () => Promise<void>
  readonly cancelRequest: (address: string, requestId: string) => Promise<void>
}

/** Runs all connections of one request: the first one, rejoins with the same id, and retries with a new id after `not_run`. */
export class RequestAttempts {
  private readonly sentAtMs = Date.now()
  private readonly startMs = performance.now()
  private readonly requestIds: string[]
  private readonly unknownOutcomeIds: string[] = []
  private readonly addresses: string[] = []
  private check: AnswerCheck
  private firstTokenMs: number | undefined
  private rejoinCount = 0
  private breakCount = 0
  private retryCount = 0
  private readonly retryCodes: string[] = []
  private restartCount = 0
  /** Reason for which the last connection was replaced. */
  private lastBreakReason: string | undefined

  constructor (private readonly options: AttemptOptions) {
    this.check = new AnswerCheck(options.request)
    this.requestIds = [options.request.requestId ?? createRequestId()]
  }

  async runRequest (): Promise<RequestRecord> {
    const { request } = this.options
    const giveUp = new AbortController()
    const giveUpTimer = setTimeout(() => giveUp.abort(), request.deadlineMs + (this.options.behaviour.graceMs ?? callerConstants.graceMs))
    const abandonTimer = request.abandonAfterMs === undefined ? undefined : setTimeout(() => giveUp.abort('abandoned'), request.abandonAfterMs)
    try {
      return await this.runAttempts(giveUp.signal)
    } finally {
      clearTimeout(giveUpTimer)
      clearTimeout(abandonTimer)
    }
  }

  private async runAttempts (signal: AbortSignal): Promise<RequestRecord> {
    while (!signal.aborted) {
      const address = await this.options.routes.chooseAddress(this.addresses.at(-1))
      const outcome = address === undefined ? { type: 'broken', reason: 'no route' } as const : await this.runConnection(address, signal)
      if (signal.aborted) break
      if (outcome.type === 'answered') return this.buildRecord({ outcome: 'whole', ran: 'ran', result: outcome.result })
      if (outcome.type === 'violated') return this.buildRecord({ outcome: 'wrong', ran: 'ran', violation: outcome.violation })
      if (outcome.type === 'error' && !isRejoinRequired(outcome.error)) {
        const isRetried = await this.waitBeforeRetry(outcome.error, signal)
        if (!isRetried && !this.applyNewIdAfterUnknown(outcome.error)) return this.buildErrorRecord(outcome.error)
      } else {
        if (outcome.type === 'broken' && this.options.behaviour.rejoins === false && address !== undefined) return this.buildGivenUpRecord(signal)
        if (outcome.type === 'broken') this.applyNewIdAfterUnknown()
        await this.waitBeforeRejoin(outcome.type === 'broken' ? outcome.reason : outcome.error.code, address, signal)
      }
    }
    return this.buildGivenUpRecord(signal)
  }

  private async runConnection (address: string, signal: AbortSignal): Promise<ConnectionOutcome> {
    const { request, token, dispatcher, silenceMs, waitForLinkDelay } = this.options
    await waitForLinkDelay()
    this.addresses.push(address)
    const reader = new AnswerReader({
      origin: `http://${address}`,
      token,
      requestId: this.getRequestId(),
      body: JSON.stringify({ kind: request.kind, input: request.input, stream: request.stream, deadlineMs: request.shortenedDeadlineMs }),
      dispatcher,
      signal,
      silenceMs,
      onFirstToken: () => { this.firstTokenMs ??= performance.now() - this.startMs }
    }, this.check)
    return reader.readAnswer()
  }

  /**
   * Follows the retry hint of an error; resolves with false when there is none, the request was executed, or no retry or
   * time is left. After `not_run` the request gets a new id; while it may be running (`unknown`) only the same id is safe.
   */
  private async waitBeforeRetry (error: CallerApiError, signal: AbortSignal): Promise<boolean> {
    const { request, routes } = this.options
    const hasHint = error.retryAfterMs !== undefined || error.addresses !== undefined || hasCode(callerConstants.otherAddressCodes, error.code)
    if (error.ran === 'ran' || !hasHint || this.retryCount >= (request.maxRetries ?? callerConstants.maxRetries)) return false
    const delayMs = error.retryAfterMs ?? 0
    if (performance.now() - this.startMs + delayMs > request.deadlineMs) return false
    routes.applyAddresses(error.addresses?.map(entry => entry.address) ?? [])
    this.retryCount++
    this.retryCodes.push(error.code)
    // `not_run` guarantees that nothing was executed, so a new id cannot execute the request twice.
    if (error.ran === 'not_run') this.applyNewId()
    await waitMs(delayMs, undefined, { signal }).catch(() => {})
    return true
  }

  /** Gives a request whose outcome is unknown a new id when `retriesUnknownWithNewId` is set; returns whether it did. */
  private applyNewIdAfterUnknown (error?: CallerApiError): boolean {
    if (!this.options.behaviour.retriesUnknownWithNewId || error?.ran === 'not_run') return false
    this.unknownOutcomeIds.push(this.getRequestId())
    this.applyNewId()
    return true
  }

  private applyNewId (): void {
    this.restartCount += this.check.restartCount
    this.requestIds.push(createRequestId())
    this.check = new AnswerCheck(this.options.request)
  }

  private async waitBeforeRejoin (reason: string, address: string | undefined, signal: AbortSignal): Promise<void> {
    this.lastBreakReason = reason
    if (address !== undefined) {
      this.options.routes.recordFailure(address)
      this.rejoinCount++
    }
    // The first rejoin is sent immediately; later ones after a delay that doubles with every broken connection, except after silence.
    const backoffMs = this.breakCount === 0 ? 0 : Math.min(callerConstants.maxBackoffMs, callerConstants.minBackoffMs * 2 ** this.breakCount)
    this.breakCount++
    if (backoffMs > 0 && reason !== 'silence') await waitMs(backoffMs, undefined, { signal }).catch(() => {})
  }

  private buildErrorRecord (error: CallerApiError): RequestRecord {
    return this.buildRecord({ outcome: error.ran === 'not_run' ? 'refused' : 'failed', ran: error.ran, code: error.code, message: error.message })
  }

  private buildGivenUpRecord (signal: AbortSignal): RequestRecord {
    const address = this.addresses.at(-1)
    if (address !== undefined) this.options.cancelRequest(address, this.getRequestId())
    if (signal.reason === 'abandoned') return this.buildRecord({ outcome: 'abandoned', ran: 'unknown', code: 'caller_abandoned' })
    return this.buildRecord({ outcome: 'failed', ran: address === undefined ? 'not_run' : 'unknown', code: 'caller_no_answer', message: this.lastBreakReason })
  }

  private buildRecord (part: Pick<RequestRecord, 'outcome' | 'ran'> & Partial<RequestRecord>): RequestRecord {
    const { request, account } = this.options
    return {
      requestIds: this.requestIds,
      unknownOutcomeIds: this.unknownOutcomeIds,
      marker: request.marker,
      account,
      kind: request.kind,
      sentAtMs: this.sentAtMs,
      latencyMs: performance.now() - this.startMs,
      firstTokenMs: this.firstTokenMs,
      tokenCount: this.check.receivedTokenCount,
      rejoinCount: this.rejoinCount,
      retryCount: this.retryCount,
      retryCodes: this.retryCodes,
      restartCount: this.restartCount + this.check.restartCount,
      addresses: this.addresses,
      ...part
    }
  }

  private getRequestId (): string {
    return this.requestIds.at(-1) as string
  }
}

/** Whether the request has to be sent to another address with the same id. */
function isRejoinRequired (error: CallerApiError): boolean {
  return error.ran === 'unknown' && hasCode(callerConstants.rejoinCodes, error.code)
}

function hasCode (codes: readonly string[], code: string): boolean {
  return codes.includes(code)
}
