import t from 'tap'
import { createTestDirectory } from './createTestDirectory.js'
import { CountingMetrics } from '../../../../../playground/fakes/countingMetrics.js'
import { ProtocolErrorCondition } from '../protocolErrorCondition.js'
import { silentLogger } from '../../../../../playground/fakes/silentLogger.js'
import { upstreamConstants } from '../../upstreams/constants.js'
import { VirtualClock } from '../../../../../playground/fakes/virtualClock.js'
import type { ExchangeFailure } from '../../upstreams/exchangeFailure.js'
import type { UpstreamState } from '../../upstreams/upstreamState.js'

const { protocolErrorPauseMs, protocolErrorsToPause } = upstreamConstants
const broken: ExchangeFailure = { kind: 'broken', wasSent: true, detail: 'reset before the end of the answer' }
const foreign: ExchangeFailure = { kind: 'foreign-answer', wasSent: true, detail: 'answer to request r-1' }
const protocolError: ExchangeFailure = { ...broken, detail: 'more than 8 interim responses', isProtocolError: true }

function createUpstream () {
  const condition = new ProtocolErrorCondition(silentLogger, new CountingMetrics())
  const directory = createTestDirectory(new VirtualClock())
  directory.applyEntry({ id: 'i-1', service: 'shop', address: '127.45.1.1:7000', failureDomain: 'a', version: 'v1', slots: 4, isDraining: false, startedAtMs: 1 })
  const state: UpstreamState = directory.find('i-1')!
  const recordEnds = (failure: ExchangeFailure | undefined, count: number, nowMs: number, takesPlace = true): void => {
    for (let i = 0; i < count; i++) condition.recordEnded(state, nowMs, takesPlace, failure)
  }
  return { state, recordEnds, findBlock: (nowMs: number) => condition.findBlock(state, nowMs) }
}

t.test('guards against an upstream that keeps its traffic though it only breaks the protocol', async t => {
  const { recordEnds, findBlock } = createUpstream()
  recordEnds(protocolError, protocolErrorsToPause - 1, 0)
  recordEnds(undefined, 1, 0, false)
  t.equal(findBlock(0), undefined)
  recordEnds(protocolError, 1, 0)
  t.same(findBlock(0), { waitMs: protocolErrorPauseMs }, 'the answer to a release ends nothing')
  recordEnds(protocolError, 1, protocolErrorPauseMs)
  t.same(findBlock(protocolErrorPauseMs), { waitMs: 2 * protocolErrorPauseMs }, 'one more is enough after a pause')
})

t.test('guards against a pause of an upstream that is well again, or whose failures may have another cause', async t => {
  const { state, recordEnds, findBlock } = createUpstream()
  for (let i = 0; i < 5; i++) {
    recordEnds(protocolError, protocolErrorsToPause - 1, 0)
    recordEnds(undefined, 1, 0)
  }
  recordEnds(broken, 10, 0)
  recordEnds(foreign, 10, 0)
  t.equal(findBlock(0), undefined)
  recordEnds(protocolError, protocolErrorsToPause, 0)
  state.inFlight = 1
  t.ok(findBlock(protocolErrorPauseMs), 'one request at a time after the pause')
  recordEnds(undefined, 1, protocolErrorPauseMs)
  t.equal(findBlock(protocolErrorPauseMs), undefined)
})
