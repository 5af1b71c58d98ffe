import { ingressConstants } from './constants.js'
import { waitUntilReceived } from './waitUntilReceived.js'
import type { IngressOptions } from './ingressOptions.js'
import type { IngressRefusal } from './ingressRefusal.js'
import type { Intake } from './intake.js'
import type { RequestRunDependencies } from './requestRunDependencies.js'

interface RefuserOptions extends Pick<IngressOptions, 'configuration'> {
  readonly dependencies: Pick<RequestRunDependencies, 'logger' | 'metrics'>
}

/** Refuses requests that are being taken in, and decides what becomes of their bodies and connections. */
export class RequestRefuser {
  constructor (private readonly options: RefuserOptions) {}

  /** Refuses a request after its body when that is short, so that the connection can be used again, or else at once. */
  async refuse (intake: Intake, refusal: IngressRefusal): Promise<void> {
    const { exchange, clientResponse, held } = intake
    const { message, expectation, size: { bodyBytes = Infinity } } = exchange
    const { discardTimeoutMs, maxDiscardBytes } = ingressConstants
    const isBodyDue = expectation === '' && bodyBytes <= maxDiscardBytes && held !== undefined
    if (!message.complete && !isBodyDue && exchange.inputError === undefined) {
      return await this.refuseEarly(intake, refusal)
    }
    this.recordRefusal(intake, refusal)
    if (exchange.inputError === undefined) await exchange.waitForBody(waitUntilReceived(message, discardTimeoutMs))
    // Whether a response closes the connection is known at its turn.
    if (!await exchange.waitForTurn()) return
    clientResponse.writeError(refusal.status, refusal.code, refusal.reason, refusal.retryAfterMs)
  }

  /**
   * Refuses a request before it has arrived. The rest is read but not kept, so that the client gets the response. The
   * requests behind a body of stated length are served; a client that asks before it sends a body may leave it out.
   */
  async refuseEarly (intake: Intake, refusal: IngressRefusal): Promise<void> {
    const { connection, exchange, clientResponse, held } = intake
    const { message, expectation, size: { bodyBytes = Infinity } } = exchange
    this.recordRefusal(intake, refusal)
    held?.releaseBody()
    const isDiscarded = expectation === '' && bodyBytes <= ingressConstants.maxSkippedBytes
    const isKept = isDiscarded && held !== undefined && exchange.inputError === undefined
    if (!isKept) connection.refuseRequests()
    clientResponse.writeEarlyError(refusal.status, refusal.code, refusal.reason, refusal.retryAfterMs, !isKept)
    if (held !== undefined) await exchange.waitForBody(waitUntilReceived(message, ingressConstants.discardTimeoutMs))
    if (!message.complete) connection.refuseRequests()
    clientResponse.endEarlyError()
  }

  /** Logs a refusal, and releases the head, of which nothing else is needed. */
  private recordRefusal ({ exchange }: Intake, { status, code, reason }: IngressRefusal): void {
    const { logger, metrics } = this.options.dependencies
    const configurationVersion = this.options.configuration.getCurrent()?.version
    const { requestId, request } = exchange
    const path = request?.target
    logger.recordInfo('request rejected', { requestId, status, code, reason, path, configurationVersion })
    metrics.addCount('requests_rejected', { code })
    exchange.releaseHead()
  }
}
