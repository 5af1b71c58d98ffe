import t from 'tap'
import { CountingMetrics } from '../../../../../playground/fakes/countingMetrics.js'
import { HeapGuard } from '../heapGuard.js'
import { memoryConstants } from '../constants.js'
import { silentLogger } from '../../../../../playground/fakes/silentLogger.js'
import { VirtualClock } from '../../../../../playground/fakes/virtualClock.js'
import type { LogFields } from '../../../../types/logFields.js'

t.test('guards against requests that are taken until the heap is full', async t => {
  const lines: LogFields[] = []
  const clock = new VirtualClock()
  const heap = { live: 100, garbage: 0, collections: 0 }
  const guard = new HeapGuard({
    heapLimitBytes: 1000,
    readHeapBytes: () => heap.live + heap.garbage,
    collectGarbage: () => {
      heap.garbage = 0
      heap.collections++
    },
    clock,
    logger: { ...silentLogger, recordWarning: (_: string, fields: LogFields = {}) => { lines.push(fields) } },
    metrics: new CountingMetrics()
  })
  t.ok(guard.admit())
  heap.garbage = 800
  t.ok(guard.admit(), 'garbage alone refuses nothing')
  t.equal(heap.collections, 1)
  heap.live = 700
  t.notOk(guard.admit())
  t.equal(heap.collections, 1, 'one collection in an interval')
  heap.live = 450
  t.notOk(guard.admit(), 'resumes only well below the bound')
  await clock.runFor(memoryConstants.minCollectIntervalMs)
  Object.assign(heap, { live: 400, garbage: 300 })
  t.ok(guard.admit())
  t.match(lines, [{ isFull: true, heapBytes: 700, heapLimitBytes: 1000 }, { isFull: false, heapBytes: 400 }])
})

t.test('guards against refusing requests for seconds because of garbage, and against collecting most of the time', async t => {
  const heap = { garbage: 0, collectMs: 10, collectedMs: 0, nowMs: 0 }
  const guard = new HeapGuard({
    heapLimitBytes: 1000,
    readHeapBytes: () => 300 + heap.garbage,
    collectGarbage: () => {
      heap.garbage = 0
      heap.nowMs += heap.collectMs
      heap.collectedMs += heap.collectMs
    },
    clock: { readMonotonicMs: () => heap.nowMs, readWallMs: () => heap.nowMs },
    logger: silentLogger,
    metrics: new CountingMetrics()
  })
  /** Longest time without an admission in 5 s in which garbage fills the heap at once. */
  const measureLongestMs = (): number => {
    let longestMs = 0
    let admittedAtMs = heap.nowMs
    for (const endMs = heap.nowMs + 5000; heap.nowMs < endMs; heap.nowMs += 10) {
      heap.garbage = 400
      if (guard.admit()) admittedAtMs = heap.nowMs
      longestMs = Math.max(longestMs, heap.nowMs - admittedAtMs)
    }
    return longestMs
  }
  t.ok(measureLongestMs() < 200)
  Object.assign(heap, { collectMs: 100, collectedMs: 0 })
  t.ok(measureLongestMs() < 700)
  t.ok(heap.collectedMs <= 1000, `${heap.collectedMs} ms of collections`)
})

t.test('guards against a runtime without a call that collects garbage', async t => {
  const options = { collectGarbage: undefined, clock: new VirtualClock(), logger: silentLogger, metrics: new CountingMetrics() }
  const heap = { bytes: 700 }
  const guard = new HeapGuard({ ...options, heapLimitBytes: 1000, readHeapBytes: () => heap.bytes })
  t.notOk(guard.admit())
  heap.bytes = 510
  t.notOk(guard.admit(), 'below the 61% at which V8 gives up')
  heap.bytes = 400
  t.ok(guard.admit())
})
