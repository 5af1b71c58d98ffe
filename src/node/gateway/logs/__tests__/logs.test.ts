import { spawn } from 'node:child_process'
import t from 'tap'
import { RateLimitedLogger } from '../rateLimitedLogger.js'
import { createLogger } from '../../../logging/createLogger.js'
import { logConstants } from '../constants.js'

t.test('lines of each message are limited per second, and suppressed lines are counted', async t => {
  const lines: string[] = []
  let nowMs = 0
  const logger = new RateLimitedLogger(createLogger({ write: line => { lines.push(line) } }), { readMonotonicMs: () => nowMs, readWallMs: () => 0 })
  for (let i = 0; i < 10 * logConstants.maxLinesPerSecond; i++) logger.recordInfo('attempt ended', { i })
  logger.createChild({ requestId: 'x' }).recordWarning('request timed out')
  t.equal(lines.length, logConstants.maxLinesPerSecond + 1, 'another message has its own limit')
  nowMs = logConstants.windowMs
  logger.recordInfo('attempt ended')
  t.match(JSON.parse(lines.at(-2)!), { message: 'log lines left out', of: 'attempt ended', count: 9 * logConstants.maxLinesPerSecond })
})

t.test('a blocked output neither blocks the event loop nor fills the memory', async t => {
  const script = `
    import { createOutputWriter } from './src/node/gateway/logs/createOutputWriter.ts'
    const write = createOutputWriter()
    const startMs = Date.now()
    for (let i = 0; i < 20000; i++) write('x'.repeat(1000))
    setTimeout(() => { process.stderr.write(JSON.stringify({ ms: Date.now() - startMs, mb: process.memoryUsage().rss / 1e6 })); process.exit(0) }, 50)`
  const child = spawn(process.execPath, ['--import', '@tapjs/typescript/import', '--input-type=module', '-e', script], { stdio: ['ignore', 'pipe', 'pipe'] })
  child.stdout.pause()
  let text = ''
  child.stderr.on('data', chunk => { text += String(chunk) })
  await new Promise(resolve => child.on('exit', resolve))
  const result = JSON.parse(text.slice(text.indexOf('{'))) as { ms: number, mb: number }
  t.ok(result.ms < 5000, `${result.ms} ms`)
  t.ok(result.mb < 400, `${result.mb} MB`)
})
