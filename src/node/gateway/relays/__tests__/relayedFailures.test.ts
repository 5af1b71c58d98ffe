import t from 'tap'
import { peerMethods } from '../../../peers/peerMethods.js'
import { RelaySession } from '../relaySession.js'
import type { ExchangeFailure } from '../../upstreams/exchangeFailure.js'
import type { lycheetrack as messages } from '../../../peers/generated/peer.js'
import type { PeerSessionHandler } from '../../../../types/peerSessionHandler.js'
import type { PeerSessions } from '../../../../types/peerSessions.js'

type ReportHandler = PeerSessionHandler<messages.IRelayReport>

function startExchange () {
  let handler!: ReportHandler
  const failures: ExchangeFailure[] = []
  const sessions = {
    openSession: (_address: string, _method: unknown, _timeoutMs: number, opened: ReportHandler) => {
      handler = opened
      return { send: () => {}, close: () => {} }
    }
  }
  const session = new RelaySession({ sessions: sessions as unknown as PeerSessions, hostId: 'host-2', address: '', onUnusable: () => {} })
  const cancel = session.send('i-a', { method: 'GET', path: '/', headers: [] }, {
    handler: { onHead: () => {}, onData: () => {}, onEnd: () => {}, onFailure: failure => { failures.push(failure) } },
    onDeclined: () => {}
  })
  return { failures, cancel, onMessage: (report: messages.IRelayReport) => { handler.onMessage(report) } }
}

t.test('guards against a relayed failure that loses whether the upstream broke the protocol', async t => {
  const failure = { kind: 'broken', detail: 'more than 8 interim responses', wasSent: true, hasUpstreamEnded: false }
  const { relayExchanges } = peerMethods
  for (const [sent, isProtocolError] of [[{ ...failure, isProtocolError: true }, true], [failure, false]] as const) {
    const { failures, onMessage } = startExchange()
    const encoded = relayExchanges.encodeResponse({ exchangeId: 1, failure: sent })
    onMessage(relayExchanges.decodeResponse(encoded))
    t.match(failures, [{ kind: 'broken', wasSent: true, isProtocolError }])
  }
})

t.test('guards against an answer over a limit that the host which relayed it does not know', async t => {
  const { failures, cancel } = startExchange()
  cancel('answer too large')
  t.match(failures, [{ kind: 'aborted', detail: 'answer too large', isProtocolError: true }])
})
