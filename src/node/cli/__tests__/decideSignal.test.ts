import t from 'tap'
import { decideSignal } from '../decideSignal.js'

const context = { canReload: true, isInterrupted: false }

t.test('SIGHUP reloads the settings of a host that can, in every state', async t => {
  t.equal(decideSignal('SIGHUP', { ...context, state: 'starting' }), 'reload after the start')
  t.equal(decideSignal('SIGHUP', { ...context, state: 'running' }), 'reload')
  t.equal(decideSignal('SIGHUP', { ...context, state: 'draining' }), 'reload')
})

t.test('SIGHUP stops a host without reloadable settings', async t => {
  t.equal(decideSignal('SIGHUP', { ...context, state: 'starting', canReload: false }), 'cancel the start')
  t.equal(decideSignal('SIGHUP', { ...context, state: 'running', canReload: false }), 'drain')
  t.equal(decideSignal('SIGHUP', { ...context, state: 'draining', canReload: false }), 'none')
})

t.test('the first stop signal cancels a start and drains a running host', async t => {
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    t.equal(decideSignal(signal, { ...context, state: 'starting' }), 'cancel the start')
    t.equal(decideSignal(signal, { ...context, state: 'running' }), 'drain')
  }
})

t.test('only a second SIGINT ends a drain', async t => {
  t.equal(decideSignal('SIGTERM', { ...context, state: 'draining' }), 'none')
  t.equal(decideSignal('SIGTERM', { ...context, state: 'draining', isInterrupted: true }), 'none')
  t.equal(decideSignal('SIGINT', { ...context, state: 'draining' }), 'none')
  t.equal(decideSignal('SIGINT', { ...context, state: 'draining', isInterrupted: true }), 'end')
})

t.test('SIGUSR2 changes nothing', async t => {
  for (const state of ['starting', 'running', 'draining'] as const) t.equal(decideSignal('SIGUSR2', { ...context, state }), 'none')
})
