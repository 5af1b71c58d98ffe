import t from 'tap'
import { peerMethods } from '../peerMethods.js'

t.test('an encoded rate report decodes to the same fields', t => {
  const bytes = peerMethods.rateReport.encodeRequest({ hostId: 'host-1', entries: [{ account: 'pier', demandPerSecond: 2.5 }] })
  t.matchSnapshot(peerMethods.rateReport.decodeRequest(bytes))
  t.end()
})
