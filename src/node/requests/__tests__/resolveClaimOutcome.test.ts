import t from 'tap'
import { resolveClaimOutcome } from '../resolveClaimOutcome.js'

// Guards against reporting an unknown outcome for a call whose claim was not confirmed, so that nothing was sent.
t.test('an unconfirmed claim is not_run, and an outcome without its body is unreadable', t => {
  t.match(resolveClaimOutcome({ ran: 'not_run', status: 503, body: '' }), { kind: 'error', code: 'claim_unavailable', ran: 'not_run' })
  t.match(resolveClaimOutcome({ ran: 'ran', status: 200, body: '' }), { kind: 'error', code: 'outcome_unreadable' })
  t.end()
})
