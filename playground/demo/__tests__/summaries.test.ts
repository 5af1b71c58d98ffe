import t from 'tap'
import type { RequestRecord } from '../../caller/requestRecord.js'
import { createSeededRandom } from '../../../src/shared/createSeededRandom.js'
import { exampleDeployments } from '../../examples/exampleDeployments.js'
import type { ExampleDeployment } from '../../examples/exampleDeployment.js'
import { buildSummaries } from '../buildSummaries.js'
import { chooseEntries } from '../chooseEntries.js'
import { listExecutionViolations } from '../listExecutionViolations.js'
import { renderSummaries } from '../renderSummaries.js'

const ferry = exampleDeployments.ferry as ExampleDeployment

function createRecord (part: Partial<RequestRecord>): RequestRecord {
  return {
    requestIds: ['r'],
    marker: 'm',
    account: 'south-mole',
    kind: 'bell-issue',
    outcome: 'whole',
    ran: 'ran',
    sentAtMs: 0,
    latencyMs: 20,
    tokenCount: 0,
    rejoinCount: 0,
    retryCount: 0,
    retryCodes: [],
    restartCount: 0,
    addresses: [],
    ...part
  }
}

t.test('summaries of a run', t => {
  const records = [
    createRecord({}),
    createRecord({ latencyMs: 1600 }),
    createRecord({ outcome: 'refused', ran: 'not_run' }),
    createRecord({ kind: 'status-read', outcome: 'failed', ran: 'unknown' }),
    createRecord({ kind: 'log-digest', latencyMs: 6000 })
  ]
  t.matchSnapshot(renderSummaries(buildSummaries(ferry.contracts, records)))
  t.end()
})

// Guards against a demo that reports success although a call that is not idempotent ran twice or after its refusal.
t.test('reports calls that ran twice, after a refusal, or not at all', t => {
  t.match(listExecutionViolations([createRecord({ requestIds: ['r', 's'] })], [{ requestId: 'r' }, { requestId: 's' }]), [/ran 2 times/])
  t.match(listExecutionViolations([createRecord({ outcome: 'refused', ran: 'not_run' })], [{ requestId: 'r' }]), [/was refused/])
  t.match(listExecutionViolations([createRecord({})], []), [/did not run/])
  t.same(listExecutionViolations([createRecord({}), createRecord({ outcome: 'failed', requestIds: ['x'] })], [{ requestId: 'r' }]), [])
  t.end()
})

t.test('a load contains every entry of the workload', t => {
  const entries = chooseEntries(ferry.workload, 100, createSeededRandom(3))
  t.equal(entries.length, 100)
  t.equal(new Set(entries).size, ferry.workload.length)
  t.end()
})
