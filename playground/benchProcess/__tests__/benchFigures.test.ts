import t from 'tap'
import { computeRegressionLine } from '../computeRegressionLine.js'
import { computeSpread } from '../computeSpread.js'
import { listBenchFaults } from '../listBenchFaults.js'
import { parseTrafficBytes } from '../parseTrafficBytes.js'
import { readProcessUsage } from '../readProcessUsage.js'
import { TokenRate } from '../tokenRate.js'
import { UsageSeries } from '../usageSeries.js'

t.test('computes the spread of odd and even numbers of values', t => {
  t.same(computeSpread([5, 1, 3]), { min: 1, median: 3, max: 5 })
  t.same(computeSpread([4, 1, 2, 9]), { min: 1, median: 3, max: 9 })
  t.end()
})

t.test('fits a line through points', t => {
  t.same(computeRegressionLine([{ x: 5, y: 11 }, { x: 10, y: 21 }, { x: 20, y: 41 }]), { slope: 2, intercept: 1 })
  t.end()
})

// The start and the end of a run, when few streams are open, would lower the rate.
t.test('counts the tokens and the CPU time within the window only', t => {
  const rate = new TokenRate()
  const usage = new UsageSeries()
  for (let ms = 0; ms <= 3000; ms += 50) {
    rate.recordTokens(ms >= 1000 && ms < 2000 ? 10 : 1, ms)
    usage.recordReading(ms < 1000 ? ms : 1000 + (ms - 1000) / 2, ms)
  }
  t.equal(rate.countTokens(1000, 2000), 200)
  t.equal(usage.computeProcessorMs(1010, 1990), 500)
  t.end()
})

t.test('sums the byte counters of all labels', t => {
  const text = '# TYPE lycheetrack_peer_bytes_sent_total counter\nlycheetrack_peer_bytes_sent_total{method="Ping"} 100\nlycheetrack_peer_bytes_received_total{method="Ping"} 1.5e+2\nprocess_resident_memory_bytes 7\n'
  t.equal(parseTrafficBytes(text), 250)
  t.equal(parseTrafficBytes('process_resident_memory_bytes 7\n'), undefined)
  t.end()
})

t.test('reads the CPU time and memory of a process', t => {
  const usage = readProcessUsage(process.pid)
  const cpu = process.cpuUsage()
  t.ok(Math.abs(usage.processorMs - (cpu.user + cpu.system) / 1000) < 100)
  t.ok(usage.residentBytes > 10e6)
  t.end()
})

// The benchmark exits with an error code when a bound is missed or an answer is incomplete.
t.test('reports missed bounds of the relay and incomplete answers', t => {
  const result = { tokensPerSecond: 24_000, processorUsPerToken: 0, processorMsPerRequest: 0, tokensPerCore: 25_000, firstTokenP50Ms: 0, firstTokenP99Ms: 0, gapP50Ms: 0, gapP99Ms: 0, faults: [] }
  const buildRelay = (pace: 'paced' | 'fast', streams: number, part: Partial<typeof result>, faults: string[] = []) => ({ variant: { path: 'relayed', pace, streams } as const, results: [{ ...result, ...part, faults }] })
  const relays = [
    buildRelay('paced', 200, { tokensPerSecond: 4878 }),
    buildRelay('paced', 1000, {}),
    buildRelay('paced', 1000, { tokensPerSecond: 19_999 }),
    buildRelay('fast', 200, { tokensPerCore: 19_999 }),
    buildRelay('fast', 400, {}, ['2 of 3 tokens'])
  ]
  t.match(listBenchFaults({ rounds: 1, relays, shortRequestMs: [], delays: [], idle: [] }), [/paced 1000: 19999 tokens/, /fast 200: .* 19999 per core/, /relayed fast 400: 1 incomplete answers/])
  t.equal(listBenchFaults({ rounds: 1, relays, shortRequestMs: [], delays: [], idle: [] }).length, 3)
  t.end()
})

t.test('reports idle hosts of the largest fleet that cost more than their bound', t => {
  const sample = { hosts: 20, processorShare: 0.028, residentBytes: 100e6, bytesPerSecond: undefined }
  const report = { rounds: 1, relays: [], shortRequestMs: [], delays: [] }
  t.same(listBenchFaults({ ...report, idle: [sample, { ...sample, hosts: 5, processorShare: 0.5 }] }), [])
  t.match(listBenchFaults({ ...report, idle: [{ ...sample, processorShare: 0.031, bytesPerSecond: 21_000 }] }), [/share of a core 0.0310/, /bytes\/s/])
  t.end()
})
