import { stageConstants } from './constants.js'
import type { Scheduler } from '../../../types/scheduler.js'
import type { StageCallCodec } from '../model/stageCallCodec.js'
import type { StageRelease } from './stageRelease.js'
import type { UpstreamPool } from '../upstreams/upstreamPool.js'

interface ReleaseOptions {
  readonly pool: Pick<UpstreamPool, 'send'>
  readonly codec: StageCallCodec
  readonly release: StageRelease
  readonly timers: Scheduler
  readonly onEnd: (outcome: 'done' | 'failed') => void
}

/** Releases results at the upstream that holds them. Ends after a timeout, and when the upstream sends an answer without end. */
export function sendRelease ({ pool, codec, release, timers, onEnd }: ReleaseOptions): void {
  let hasEnded = false
  let size = 0
  let status = 0
  const end = (outcome: 'done' | 'failed'): void => {
    if (hasEnded) return
    hasEnded = true
    cancelTimeout()
    onEnd(outcome)
  }
  const cancel = pool.send({
    method: 'POST',
    path: codec.releasePath,
    headers: codec.encodeHeaders(release.upstreamId),
    body: codec.encodeRelease(release.handles),
    takesNoPlace: true
  }, {
    onHead: head => { status = head.status },
    onData: chunk => {
      size += chunk.length
      if (size > stageConstants.maxReleaseAnswerBytes) cancelRelease('answer too large')
    },
    onEnd: () => {
      // The answer to the release may still arrive after one that is not its own.
      if (status !== 200) cancel()
      end('done')
    },
    onFailure: () => { end('failed') }
  })
  const cancelTimeout = timers.schedule(stageConstants.releaseTimeoutMs, () => { cancelRelease() })
  function cancelRelease (protocolError?: string): void {
    end('failed')
    cancel(protocolError)
  }
}
