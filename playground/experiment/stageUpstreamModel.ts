import { memoryCallCodec } from './memoryCallCodec.js'
import type { ExchangeHandler } from '../../src/node/gateway/upstreams/exchangeHandler.js'
import type { ExchangeRequest } from '../../src/node/gateway/upstreams/exchangeRequest.js'
import type { Random } from '../../src/types/random.js'
import type { StagePiece } from '../../src/node/gateway/model/stagePiece.js'
import type { StagePieceResult } from '../../src/node/gateway/model/stagePieceResult.js'
import type { StageResult } from './stageResult.js'
import type { StageServiceModel } from './stageServiceModel.js'
import type { StageWorkTable } from './stageWorkTable.js'
import type { UpstreamNoise } from './upstreamNoise.js'
import type { VirtualClock } from '../fakes/virtualClock.js'

/** Maximum number of waiting calls at an upstream; further calls are answered with status 503. */
const maxWaitingCalls = 2
/** Sizes of results vary by up to this share around the declared size. */
const sizeSpread = 0.25
/** Times of pieces vary by up to this share around the declared time. */
const workSpread = 0.2
/** Upper limit of the slowdown by noise and faults. */
const maxSlowdown = 10

interface WaitingCall {
  readonly pieces: readonly StagePiece[]
  readonly handler: ExchangeHandler
  isCancelled: boolean
}

interface StageUpstreamOptions {
  readonly id: string
  readonly service: StageServiceModel
  readonly work: StageWorkTable
  readonly noise: UpstreamNoise
  readonly clock: VirtualClock
  readonly random: Random
  readonly linkMs: number
  /** All results that exist, by handle. */
  readonly results: Map<string, StageResult>
  readonly failureDomain: string
}

/** Simulates an upstream of a stage service: one call at a time, a short queue, and limited memory for results. */
export class StageUpstreamModel {
  calls = 0
  pieces = 0
  busyMs = 0
  /** Bytes of inputs that came from other failure domains. */
  crossedBytes = 0
  /** Number of failed pieces by reason. */
  readonly failures = new Map<string, number>()
  private readonly queue: WaitingCall[] = []
  private usedBytes = 0
  private isBusy = false
  private nextResult = 0

  constructor (private readonly options: StageUpstreamOptions) {}

  /** Implements the method of the upstream pool that the dispatcher uses. Returns a function that cancels the call. */
  send (request: ExchangeRequest, handler: ExchangeHandler): () => void {
    const call: WaitingCall = { pieces: [], handler, isCancelled: false }
    const body = JSON.parse(String(request.body))
    this.options.clock.schedule(this.options.linkMs, () => {
      if (call.isCancelled || this.options.noise.isDown(this.options.clock.readMonotonicMs())) return this.refuseCall(call)
      if (request.path === memoryCallCodec.releasePath) this.removeResults(call, body)
      else this.addCall({ ...call, pieces: body })
    })
    return () => { call.isCancelled = true }
  }

  private refuseCall ({ handler, isCancelled }: WaitingCall): void {
    if (!isCancelled) handler.onFailure({ kind: 'connect', wasSent: false, detail: 'refused' })
  }

  private removeResults (call: WaitingCall, handles: readonly string[]): void {
    for (const handle of handles) this.removeResult(handle)
    this.options.clock.schedule(this.options.linkMs, () => { if (!call.isCancelled) call.handler.onEnd() })
  }

  private addCall (call: WaitingCall): void {
    if (this.isBusy && this.queue.length >= maxWaitingCalls) return this.sendAnswer(call, 503, [])
    this.queue.push(call)
    if (!this.isBusy) this.runNext()
  }

  private runNext (): void {
    const call = this.queue.shift()
    if (call === undefined) return
    if (call.isCancelled) return this.runNext()
    const { clock, service, noise, work, random } = this.options
    const nowMs = clock.readMonotonicMs()
    this.isBusy = true
    const results = call.pieces.map(piece => this.takePiece(piece))
    const workMs = call.pieces.reduce(
      (sum, { requestId, stageIndex }) => sum + service.spec.pieceMs * work.getFactor(requestId, stageIndex) * computeFactor(workSpread, random),
      service.spec.callMs
    )
    const durationMs = workMs * Math.min(noise.computeFactor(nowMs), maxSlowdown)
    this.calls++
    this.pieces += call.pieces.length
    this.busyMs += durationMs
    clock.schedule(durationMs, () => {
      for (const result of results) if ('handle' in result) this.scheduleExpiry(result.handle)
      this.sendAnswer(call, 200, results)
      this.isBusy = false
      this.runNext()
    })
  }

  private takePiece (piece: StagePiece): StagePieceResult {
    const { service, results, work, random } = this.options
    if ((piece.inputs ?? []).some(input => !results.has(input))) return this.refusePiece('input-gone')
    const bytes = work.getResultBytes(piece.requestId, piece.stageIndex) * computeFactor(sizeSpread, random)
    if (this.usedBytes + bytes > service.spec.resultRoomBytes) return this.refusePiece('no-room')
    for (const input of piece.inputs ?? []) {
      const { bytes, failureDomain } = results.get(input)!
      if (failureDomain !== this.options.failureDomain) this.crossedBytes += bytes
    }
    const handle = `${this.options.id}/${this.nextResult++}`
    this.usedBytes += bytes
    results.set(handle, { bytes, failureDomain: this.options.failureDomain })
    return { handle }
  }

  private refusePiece (failure: 'input-gone' | 'no-room'): StagePieceResult {
    this.failures.set(failure, (this.failures.get(failure) ?? 0) + 1)
    return { failure }
  }

  private sendAnswer ({ handler, isCancelled }: WaitingCall, status: number, results: readonly StagePieceResult[]): void {
    this.options.clock.schedule(this.options.linkMs, () => {
      if (isCancelled) return
      handler.onHead({
        status,
        isNotRun: status === 503,
        areInputsGone: false,
        isMisdirected: false,
        closesConnection: false,
        isLeaving: false,
        isSigned: false,
        isFramed: true,
        forwardedHeaders: []
      })
      handler.onData(Buffer.from(JSON.stringify(results)))
      handler.onEnd()
    })
  }

  private scheduleExpiry (handle: string): void {
    this.options.clock.schedule(this.options.service.spec.resultLifetimeMs, () => { this.removeResult(handle) })
  }

  private removeResult (handle: string): void {
    this.usedBytes -= this.options.results.get(handle)?.bytes ?? 0
    this.options.results.delete(handle)
  }
}

/** Draws a factor between `1 - spread` and `1 + spread`. */
function computeFactor (spread: number, random: Random): number {
  return 1 - spread + 2 * spread * random()
}
