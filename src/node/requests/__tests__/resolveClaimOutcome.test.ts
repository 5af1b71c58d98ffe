import t from 'tap'
import { resolveClaimOutcome } from '../resolveClaimOutcome.js'

// Guards against an unknown outcome for a call whose claim was given up before anything was sent.
t.test('a claim that was given up is not run, and a dropped answer stays unreadable', t => {
  t.match(resolveClaimOutcome({ ran: 'not_run', status: 503, body: '' }), { kind: 'error', code: 'claim_unavailable', ran: 'not_run' })
  t.match(resolveClaimOutcome({ ran: 'ran', status: 200, body: '' }), { kind: 'error', code: 'outcome_unreadable' })
  t.end()
})
