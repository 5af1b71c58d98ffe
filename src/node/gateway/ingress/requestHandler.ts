import { admitRequest } from './admitRequest.js'
import { buildInputRefusal } from './buildInputRefusal.js'
import { ClientResponse } from './clientResponse.js'
import { computeTargetLeftMs } from './computeTargetLeftMs.js'
import { ingressRefusals } from './ingressRefusals.js'
import { RequestBodyReader } from './requestBodyReader.js'
import { RequestRefuser } from './requestRefuser.js'
import { RequestRun } from './requestRun.js'
import type { Admission } from './admission.js'
import type { BodyOutcome } from './bodyOutcome.js'
import type { ClientConnection } from './clientConnection.js'
import type { ClientExchange } from './clientExchange.js'
import type { HeldRequest } from '../memory/heldRequest.js'
import type { IngressOptions } from './ingressOptions.js'
import type { IngressRefusal } from './ingressRefusal.js'
import type { Intake } from './intake.js'

type HandlerOptions = Pick<
  IngressOptions,
  'configuration' | 'dependencies' | 'requestMemory' | 'encodeErrorHeaders' | 'decodeRequest'
>

const bodyRefusals: Readonly<Record<Exclude<BodyOutcome, Buffer | 'incomplete'>, IngressRefusal>> = {
  'too-large': ingressRefusals.bodyTooLarge,
  'no-memory': ingressRefusals.memoryUsedUp,
  late: ingressRefusals.bodyLate,
  stopped: ingressRefusals.stopping
}

/** Takes in the requests of clients and runs or refuses them. */
export class RequestHandler {
  /** Monotonic time at which the host stops; undefined until draining starts. */
  private stopsAtMs: number | undefined
  private readonly runs = new Set<RequestRun>()
  private readonly bodyReaders = new Set<RequestBodyReader>()
  private readonly refuser: RequestRefuser

  constructor (private readonly options: HandlerOptions) {
    this.refuser = new RequestRefuser(options)
  }

  /** From now on, responses ask clients to close their connections, and requests get their response by `stopsAtMs`. */
  startClosing (stopsAtMs: number): void {
    this.stopsAtMs = stopsAtMs
  }

  /** Sends requests in progress their final response and cuts off streams; refuses those that are being received. */
  endRequests (): void {
    for (const reader of this.bodyReaders) reader.stop()
    for (const run of this.runs) run.endNow('the host stops')
  }

  /** Serves a request; resolves when its response has been written or is not wanted. */
  async serveRequest (connection: ClientConnection, exchange: ClientExchange): Promise<void> {
    const { message, size } = exchange
    const { configuration, decodeRequest } = this.options
    exchange.setRequest(decodeRequest(message))
    const clientResponse = this.createResponse(connection, exchange)
    const isTooLarge = (size.bodyBytes ?? 0) > (configuration.getCurrent()?.limits.maxBodyBytes ?? Infinity)
    const admission = isTooLarge ? ingressRefusals.bodyTooLarge : this.admit(exchange)
    const held = this.options.requestMemory.admit(getMemoryGroup(admission), size.headBytes, connection)
    const intake = { connection, exchange, clientResponse, held }
    try {
      if ('status' in admission) return await this.refuser.refuse(intake, admission)
      if (held?.admitBody(size.bodyBytes ?? 0) !== true) {
        return await this.refuser.refuse(intake, ingressRefusals.memoryUsedUp)
      }
      await this.serveAdmitted(intake, admission, size.bodyBytes === undefined)
    } finally {
      held?.release()
    }
  }

  private createResponse (connection: ClientConnection, exchange: ClientExchange): ClientResponse {
    const { encodeErrorHeaders, dependencies: { logger, metrics } } = this.options
    return new ClientResponse({
      response: exchange.response,
      requestId: exchange.requestId,
      encodeErrorHeaders,
      isClosing: isLong => {
        return connection.decideClosing(exchange, { isHostStopping: this.stopsAtMs !== undefined, isLong })
      },
      isClosingPossible: () => connection.isClosingPossible(exchange, this.stopsAtMs !== undefined),
      hasFollowers: () => connection.requestCount > 1,
      onBrokenOff: brokenOff => {
        metrics.addCount('responses_broken_off', { framed: String(brokenOff.isFramed) })
        logger.recordInfo('response broken off', { requestId: exchange.requestId, ...brokenOff })
      }
    })
  }

  private admit (exchange: ClientExchange): Admission | IngressRefusal {
    return admitRequest(exchange, this.stopsAtMs ?? Infinity, this.options)
  }

  private async serveAdmitted (intake: Intake, admission: Admission, isChunked: boolean): Promise<void> {
    const { configuration, dependencies } = this.options
    const { exchange, clientResponse, held } = intake
    const { message, response } = exchange
    if (/(?:^|\W)100-continue(?:$|\W)/i.test(exchange.expectation)) response.writeContinue()
    let body: BodyOutcome | undefined = await this.readBody(exchange, new RequestBodyReader(message, {
      maxBytes: configuration.getCurrent()!.limits.maxBodyBytes,
      timeoutMs: admission.deadlineAtMs - dependencies.clock.readMonotonicMs(),
      admitBytes: bytes => !isChunked || held!.admitBody(bytes)
    }))
    if (typeof body === 'string' && body !== 'incomplete') {
      return await this.refuser.refuseEarly(intake, bodyRefusals[body])
    }
    const turn = await this.waitForTurn(exchange, held!)
    if (turn === 'evicted') {
      // Nothing of the request is kept until its turn, at which it gets its refusal.
      body = undefined
      return await this.refuser.refuse(intake, ingressRefusals.memoryUsedUp)
    }
    if (!turn) return
    if (exchange.inputError !== undefined) {
      return await this.refuser.refuse(intake, buildInputRefusal(exchange.inputError))
    }
    if (body === 'incomplete') return clientResponse.closeIncomplete('the request is incomplete')
    // The newest configuration applies, even if it arrived while the body was read or the request waited for its turn.
    const current = this.admit(exchange)
    if ('status' in current) return await this.refuser.refuse(intake, current)
    const { route, account, configurationVersion, arrivedAtMs, deadlineAtMs } = current
    const request = exchange.request!
    const run = new RequestRun({
      request,
      route,
      account,
      body,
      response: clientResponse,
      configurationVersion,
      arrivedAtMs,
      deadlineAtMs,
      targetAtMs: arrivedAtMs + computeTargetLeftMs(route, request)
    }, dependencies)
    exchange.isPassedOn = () => run.isPassedOn
    response.once('close', () => { run.cancel() })
    if (response.destroyed) return
    this.runs.add(run)
    try {
      await run.run()
    } finally {
      this.runs.delete(run)
    }
  }

  private async readBody (exchange: ClientExchange, reader: RequestBodyReader): Promise<BodyOutcome> {
    this.bodyReaders.add(reader)
    try {
      return await exchange.waitForBody(reader.read())
    } finally {
      reader.stop()
      this.bodyReaders.delete(reader)
    }
  }

  /** Resolves like `waitForTurn` of the exchange, or to `evicted` if the request gave way to others before its turn. */
  private async waitForTurn (exchange: ClientExchange, held: HeldRequest): Promise<boolean | 'evicted'> {
    let onEvicted = (): void => {}
    const evicted = new Promise<'evicted'>(resolve => { onEvicted = () => { resolve('evicted') } })
    const endEviction = exchange.message.complete ? held.allowEviction(onEvicted) : () => {}
    try {
      return await Promise.race([exchange.waitForTurn(), evicted])
    } finally {
      endEviction()
    }
  }
}

function getMemoryGroup (admission: Admission | IngressRefusal): string {
  if ('status' in admission) return 'refused'
  return admission.account === null ? `route ${admission.route.name}` : `account ${admission.account.name}`
}
