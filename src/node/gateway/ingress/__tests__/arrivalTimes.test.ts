import t from 'tap'
import { ArrivalTimes } from '../arrivalTimes.js'

t.test('arrival of connections and input', async t => {
  let nowMs = 0
  let arrivals: ArrivalTimes
  let endTurn: (() => void) | undefined
  /** Ends the current turn of the event loop, `workMs` after what was observed last. */
  const runTurnEnd = (workMs: number): void => {
    nowMs += workMs
    const callback = endTurn
    endTurn = undefined
    callback?.()
  }
  t.beforeEach(() => {
    nowMs = 1000
    const clock = { readMonotonicMs: () => nowMs, readWallMs: () => nowMs }
    arrivals = new ArrivalTimes({ clock, runAfterTurn: callback => { endTurn = callback } })
  })

  t.test('input at an idle event loop has just arrived', async t => {
    t.equal(arrivals.observeInput(), 1000)
    runTurnEnd(1)
    runTurnEnd(0)
    t.equal(endTurn, undefined, 'no more turns are awaited')
    nowMs = 5000
    t.equal(arrivals.observeInput(), 5000)
  })

  t.test('guards against deadlines that ignore how long input waited for its turn', async t => {
    arrivals.observeInput()
    nowMs += 30
    t.equal(arrivals.observeInput(), 1000, 'behind other input of the same turn')
    runTurnEnd(10)
    nowMs += 20
    t.equal(arrivals.observeInput(), 1000, 'arrived in the turn before')
    runTurnEnd(0)
    nowMs += 5
    t.equal(arrivals.observeInput(), 1040)
  })

  t.test('guards against deadlines that ignore how long connections waited to be accepted', async t => {
    const openedAtMs: number[] = []
    for (let i = 0; i < 5; i++) {
      openedAtMs.push(arrivals.observeConnection())
      runTurnEnd(20)
    }
    t.same(openedAtMs, [1000, 1000, 1000, 1000, 1000], 'one is accepted in each turn')
    arrivals.observeInput()
    runTurnEnd(20)
    t.equal(arrivals.observeConnection(), 1100, 'none waited when a turn accepted none')
  })

  t.test('a connection does not count as queued for longer than clients wait', async t => {
    arrivals.observeConnection()
    for (let i = 0; i < 100; i++) {
      runTurnEnd(20)
      arrivals.observeConnection()
    }
    t.equal(arrivals.observeConnection(), nowMs - 1000)
  })
})
