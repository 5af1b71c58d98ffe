import t from 'tap'
import { AnswerCheck } from '../answerCheck.js'

const done = { requestId: 'r', status: 'completed', tokenCount: 3, result: {} }

t.test('accepts an answer that continues on another connection', t => {
  const check = new AnswerCheck({ marker: 'm', tokenCount: 3 })
  t.equal(check.addTokens('1:2', ['m.0 ', 'm.1 ']), undefined)
  t.equal(check.lastEventId, '1:2')
  t.equal(check.addTokens('1:3', ['m.2 ']), undefined)
  t.equal(check.validateDone('r', done), undefined)
  t.end()
})

// Each case is a fault of the token relay that the demo and the benchmarks must detect.
t.test('reports lost, repeated and foreign tokens', t => {
  const create = (): AnswerCheck => {
    const check = new AnswerCheck({ marker: 'm', tokenCount: 3 })
    check.addTokens('1:1', ['m.0 '])
    return check
  }
  t.match(create().addTokens('1:3', ['m.2 ']), /follows offset 1/)
  t.match(create().addTokens('1:2', ['m.0 ']), /token/)
  t.match(create().addTokens('1:2', ['other.1 ']), /token/)
  t.match(create().addTokens('2:2', ['m.1 ']), /without a restart/)
  t.match(create().validateDone('r', { ...done, tokenCount: 1 }), /1 of 3 tokens/)
  t.end()
})

t.test('discards the tokens of the earlier generation on a restart', t => {
  const check = new AnswerCheck({ marker: 'm', tokenCount: 3 })
  check.addTokens('1:2', ['m.0 ', 'm.1 '])
  check.applyRestart(2)
  t.equal(check.lastEventId, undefined)
  t.equal(check.addTokens('2:3', ['m.0 ', 'm.1 ', 'm.2 ']), undefined)
  t.equal(check.validateDone('r', done), undefined)
  t.equal(check.restartCount, 1)
  t.end()
})

t.test('reports the result or id of another request', t => {
  const check = new AnswerCheck({ marker: 'm' })
  t.equal(check.validateJson('r', { requestId: 'r', status: 'completed', result: { issue: { marker: 'm' } } }), undefined)
  t.match(check.validateJson('r', { requestId: 'r', status: 'completed', result: { issue: { marker: 'n' } } }), /marker n/)
  t.match(check.validateJson('r', { requestId: 's', status: 'completed', result: { issue: { marker: 'm' } } }), /request s/)
  t.match(check.validateJson('r', { requestId: 'r', status: 'completed', result: {} }), /no marker/)
  t.end()
})
