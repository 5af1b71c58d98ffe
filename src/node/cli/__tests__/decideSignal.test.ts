import t from 'tap'
import { decideSignal } from '../decideSignal.js'

t.test('SIGHUP reloads the settings of a host that can, in every state', async t => {
  t.equal(decideSignal('SIGHUP', 'starting', true), 'reload after the start')
  t.equal(decideSignal('SIGHUP', 'running', true), 'reload')
  t.equal(decideSignal('SIGHUP', 'draining', true), 'reload')
})

t.test('SIGHUP drains a host without reloadable settings', async t => {
  t.equal(decideSignal('SIGHUP', 'running', false), 'drain')
})

t.test('a stop signal cancels a start', async t => {
  for (const signal of ['SIGTERM', 'SIGINT'] as const) t.equal(decideSignal(signal, 'starting', true), 'cancel the start')
  t.equal(decideSignal('SIGHUP', 'starting', false), 'cancel the start')
})

t.test('SIGTERM and SIGINT drain a running host', async t => {
  t.equal(decideSignal('SIGTERM', 'running', true), 'drain')
  t.equal(decideSignal('SIGINT', 'running', true), 'drain')
})
