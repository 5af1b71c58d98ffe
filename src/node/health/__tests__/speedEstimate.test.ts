import t from 'tap'
import { SpeedEstimate } from '../speedEstimate.js'

t.test('a single straggler does not mark the upstream slow', t => {
  const speed = new SpeedEstimate()
  for (let i = 0; i < 30; i++) speed.observeCall(i % 10 === 9 ? 20 : 1, 1, i * 20)
  t.notOk(speed.isSlow())
  t.end()
})

t.test('three slow calls mark the upstream slow', t => {
  const speed = new SpeedEstimate()
  for (let i = 0; i < 3; i++) speed.observeCall(8, 1, i * 160)
  t.ok(speed.isSlow())
  t.end()
})

t.test('a slowdown of the whole pool marks no upstream slow', t => {
  const speed = new SpeedEstimate()
  for (let i = 0; i < 20; i++) speed.observeSample(3, 3, i * 100)
  t.notOk(speed.isSlow())
  t.end()
})

t.test('a recovered upstream receives work gradually', t => {
  const speed = new SpeedEstimate()
  for (let i = 0; i < 5; i++) speed.observeSample(8, 1, i * 100)
  t.notOk(speed.hasCapacity(0), 'no work while slow')
  t.ok(speed.isProbeDue(true, 10_000))
  speed.observeSample(1, 1, 10_000)
  t.ok(speed.hasCapacity(0))
  t.notOk(speed.hasCapacity(1), 'one attempt at first')
  for (let i = 0; i < 10; i++) speed.onFastResponse()
  t.ok(speed.hasCapacity(100))
  t.end()
})
