import t from 'tap'
import { ArrivalTimes } from '../arrivalTimes.js'
import { computeArrivalMs } from '../computeArrivalMs.js'

t.test('guards against requests whose time is over as they come while connections are accepted without a gap', async t => {
  let nowMs = 0
  let endTurn = (): void => {}
  const clock = { readMonotonicMs: () => nowMs, readWallMs: () => nowMs }
  const arrivals = new ArrivalTimes({ clock, runAfterTurn: callback => { endTurn = callback } })
  let arrivedAtMs = 0
  for (let turn = 0; turn < 400; turn++) {
    arrivedAtMs = arrivals.observeConnection()
    nowMs += 5
    endTurn()
  }
  t.equal(computeArrivalMs({ arrivedAtMs, receivedAtMs: nowMs }, 600), nowMs - 120)
  t.equal(computeArrivalMs({ arrivedAtMs: nowMs - 30, receivedAtMs: nowMs }, 600), nowMs - 30, 'a queue that is known')
})
