import t from 'tap'
import { CountingMetrics } from '../../../../../playground/fakes/countingMetrics.js'
import { MemoryWatch } from '../memoryWatch.js'
import { memoryConstants } from '../constants.js'
import { MemoryUnreadableError } from '../memoryUnreadableError.js'
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
  Object.assign(usage, { residentBytes: 100, heapBytes: 310 })
  watch.checkUsage()
  t.match(lines[1], { heapBytes: 310 })
})

t.test('guards against a read of the memory that fails and counts as an unexpected error', async t => {
  const messages: string[] = []
  const record = (message: string): void => { messages.push(message) }
  let failure: Error | undefined = new MemoryUnreadableError('EMFILE: too many open files')
  const watch = new MemoryWatch({
    memoryBytes: 1000,
    heapLimitBytes: 500,
    readUsage: () => {
      if (failure !== undefined) throw failure
      return { residentBytes: 1, heapBytes: 1, externalBytes: 1 }
    },
    countHeldBytes: () => ({}),
    clock: new VirtualClock(),
    logger: { ...silentLogger, recordWarning: record, recordInfo: record },
    metrics: new CountingMetrics()
  })
  watch.checkUsage()
  watch.checkUsage()
  failure = undefined
  watch.checkUsage()
  t.same(messages, ['memory not readable', 'memory readable again'])
  failure = new TypeError('a fault of the program')
  t.throws(() => { watch.checkUsage() }, failure)
})
