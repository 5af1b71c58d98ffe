import t from 'tap'
import type { AdmissionRequest } from '../../../types/admissionRequest.js'
import { createAdmissionController } from '../createAdmissionController.js'

function createController (waitMs: number, granted = true) {
  const taken: string[] = []
  const controller = createAdmissionController({
    limiter: { take: account => { taken.push(account); return { granted, retryAfterMs: granted ? 0 : 70 } } },
    estimator: { computeStageMs: () => ({ serviceMs: 100, waitMs }) },
    contracts: { find: () => undefined }
  })
  return { controller, taken }
}

function buildRequest (priority: number, remainingMs: number): AdmissionRequest {
  const stage = { name: 'call', operation: 'call' as const, pool: 'api', after: [] }
  return { requestId: 'r', account: 'a', kind: 'k', stages: [stage, { ...stage, name: 'second', after: ['call'] }], priority, idempotent: true, remainingMs, tokens: 0 }
}

t.test('refuses a request whose critical path is longer than the time left, and takes nothing from the limit', t => {
  const { controller, taken } = createController(0)
  t.match(controller.admit(buildRequest(9, 199), 0), { admitted: false, reason: 'deadline_unreachable' })
  t.same(taken, [])
  t.same(controller.admit(buildRequest(9, 200), 0), { admitted: true })
  t.end()
})

t.test('refuses low priority before high priority under load', t => {
  const { controller } = createController(100)
  t.match(controller.admit(buildRequest(0, 500), 0), { admitted: false, reason: 'overloaded' })
  t.same(controller.admit(buildRequest(9, 500), 0), { admitted: true })
  t.end()
})

t.test('refuses a request beyond the limit and returns the retry delay', t => {
  const { controller } = createController(0, false)
  t.same(controller.admit(buildRequest(9, 500), 0), { admitted: false, reason: 'limit_reached', retryAfterMs: 70 })
  t.end()
})
