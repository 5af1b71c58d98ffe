import t from 'tap'
import { CountingMetrics } from '../../../../../playground/fakes/countingMetrics.js'
import { MemoryWatch } from '../memoryWatch.js'
import { memoryConstants } from '../constants.js'
import { silentLogger } from '../../../../../playground/fakes/silentLogger.js'
import { VirtualClock } from '../../../../../playground/fakes/virtualClock.js'
import type { LogFields } from '../../../../types/logFields.js'

t.test('guards against a process that is ended for its memory without a line in the log', async t => {
  const lines: LogFields[] = []
  const clock = new VirtualClock()
  const logger = { ...silentLogger, recordWarning: (_: string, fields: LogFields = {}) => { lines.push(fields) } }
  const usage = { residentBytes: 800, heapBytes: 100, externalBytes: 50 }
  const watch = new MemoryWatch({
    memoryBytes: 1000,
    heapLimitBytes: 500,
    readUsage: () => usage,
    countHeldBytes: () => ({ answers: 7 }),
    clock,
    logger,
    metrics: new CountingMetrics()
  })
  watch.checkUsage()
  t.same(lines, [], 'far from both limits')
  usage.residentBytes = 850
  watch.checkUsage()
  watch.checkUsage()
  t.match(lines, [{ residentBytes: 850, memoryBytes: 1000, heapBytes: 100, heapLimitBytes: 500, answers: 7 }])
  t.equal(lines.length, 1, 'once in an interval')
  await clock.runFor(memoryConstants.logIntervalMs)
  Object.assign(usage, { residentBytes: 100, heapBytes: 430 })
  watch.checkUsage()
  t.match(lines[1], { heapBytes: 430 })
})
