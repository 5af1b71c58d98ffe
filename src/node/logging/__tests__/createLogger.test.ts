import t from 'tap'
import { createLogger } from '../createLogger.js'
import { createStandardErrorWriter } from '../createStandardErrorWriter.js'
import type { LoggerOptions } from '../loggerOptions.js'

function createRecordingLogger (options: LoggerOptions = {}) {
  const lines: string[] = []
  const logger = createLogger({ host: 'host-1', failureDomain: 'quay-a', ...options, write: line => lines.push(line.replace(/"time":"[^"]+"/, '"time":"T"')) })
  return { logger, lines }
}

t.test('a line carries host, failure domain, request and trace before its own fields', t => {
  const { logger, lines } = createRecordingLogger()
  logger.createChild({ traceId: 'trace-1', requestId: 'request-1' }).recordInfo('100%s of 3 stages done', { stages: 3, note: undefined })
  t.same(lines, ['{"level":"info","time":"T","host":"host-1","failureDomain":"quay-a","requestId":"request-1","traceId":"trace-1","message":"100%s of 3 stages done","stages":3}'])
  t.end()
})

t.test('a line below the level is never serialized', t => {
  const { logger, lines } = createRecordingLogger({ level: 'warning' })
  const fields = { get costly (): string { t.fail('field was read'); return '' } }
  logger.recordDebug('debug', fields)
  logger.recordInfo('info', fields)
  logger.recordWarning('warning')
  logger.recordError('error')
  t.equal(lines.length, 2)
  t.end()
})

t.test('secrets are redacted by field name, by value and in authorization headers', t => {
  const { logger, lines } = createRecordingLogger({ secrets: ['peer-"secret"-1'] })
  logger.recordInfo('using peer-"secret"-1', { operatorToken: 'abc', note: 'Authorization: Bearer xyz.1', tokens: 7 })
  t.notMatch(lines[0], /abc|xyz|peer-/)
  t.match(JSON.parse(lines[0]!), { operatorToken: '[redacted]', note: 'Authorization: Bearer [redacted]', message: 'using [redacted]', tokens: 7 })
  t.end()
})

t.test('two loggers in one process keep their own writers and levels', t => {
  const first = createRecordingLogger({ level: 'debug' })
  const second = createRecordingLogger({ host: 'host-2' })
  first.logger.recordDebug('one')
  second.logger.recordDebug('two')
  second.logger.recordInfo('three')
  t.equal(first.lines.length, 1)
  t.match(second.lines, [/"host":"host-2".*three/])
  t.end()
})

t.test('lines are dropped and counted while the buffer of standard error is full', t => {
  const written: string[] = []
  const stream = { writableLength: 0, on () {}, write: (text: string) => written.push(text) }
  const write = createStandardErrorWriter(stream as unknown as NodeJS.WriteStream)
  stream.writableLength = 1e9
  write('lost')
  write('lost too')
  stream.writableLength = 0
  write('kept')
  t.same(written, ['{"level":"warning","message":"log lines dropped","count":2}\n', 'kept\n'])
  t.end()
})
