import { ByteList } from '../../../shared/byteList.js'
import { stageConstants } from './constants.js'
import type { Scheduler } from '../../../types/scheduler.js'
import type { StageCall } from './stageCall.js'
import type { StageCallCodec } from '../model/stageCallCodec.js'
import type { StagePieceResult } from '../model/stagePieceResult.js'
import type { UpstreamPool } from '../upstreams/upstreamPool.js'

interface StageCallOptions {
  readonly pool: Pick<UpstreamPool, 'send'>
  readonly codec: StageCallCodec
  readonly call: StageCall
  readonly timers: Scheduler
  /** Whether an answer with these results is the first one. */
  readonly isFirstAnswer: (results: readonly StagePieceResult[]) => boolean
  readonly onAnswer: (results: readonly StagePieceResult[]) => void
  /** `mayHaveRun`: the upstream may hold results of the call. */
  readonly onFailure: (reason: string, mayHaveRun: boolean) => void
}

const oversizeDetail = 'answer too large'

/** Sends one stage call with a timeout. The returned function cancels the call without invoking a callback. */
export function sendStageCall ({ pool, codec, call, timers, isFirstAnswer, onAnswer, onFailure }: StageCallOptions): () => void {
  const maxBytes = stageConstants.answerBaseBytes + stageConstants.answerBytesPerPiece * call.pieces.length
  const body = new ByteList()
  let status = 0
  let isNotRun = false
  let hasEnded = false
  const end = (report: () => void): void => {
    if (hasEnded) return
    hasEnded = true
    cancelTimeout()
    report()
  }
  const cancel = pool.send({
    method: 'POST',
    path: codec.runPath,
    headers: codec.encodeHeaders(call.upstreamId),
    body: codec.encodePieces(call.pieces)
  }, {
    onHead: head => {
      status = head.status
      isNotRun = head.isNotRun
    },
    onData: chunk => {
      if (body.byteLength + chunk.length > maxBytes) cancelCall(oversizeDetail, oversizeDetail)
      else body.add(chunk)
    },
    onEnd: () => {
      end(() => {
        const results = status === 200 ? codec.decodeResults(body.buildBuffer().toString('utf8'), call.pieces.length) : undefined
        const isFirst = results !== undefined && isFirstAnswer(results)
        // Only a handle that no answer had before shows that this is no copy of an earlier answer. After any other
        // answer, the one to this call may still arrive, and must not be taken for that of the next call.
        if (!isFirst || !results.some(result => 'handle' in result)) cancel()
        if (results === undefined) return onFailure(status === 200 ? 'answer cannot be decoded' : `status ${status}`, !isNotRun)
        if (isFirst) return onAnswer(results)
        onFailure('second copy of an earlier answer', true)
      })
    },
    onFailure: failure => { end(() => { onFailure(`${failure.kind}: ${failure.detail}`, failure.wasSent) }) }
  })
  const cancelTimeout = timers.schedule(call.timeoutMs, () => { cancelCall('no answer in time') })
  function cancelCall (reason: string, protocolError?: string): void {
    end(() => {
      cancel(protocolError)
      onFailure(reason, true)
    })
  }
  return () => {
    end(() => {})
    cancel()
  }
}
