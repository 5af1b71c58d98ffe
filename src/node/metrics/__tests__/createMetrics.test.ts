import t from 'tap'
import { createMetrics } from '../createMetrics.js'

function createMetricsWithClock () {
  let nowMs = 0
  const clock = { readMonotonicMs: () => nowMs, readWallMs: () => nowMs }
  return { metrics: createMetrics({ clock, processMetrics: false, help: { lycheetrack_running: 'Running requests.' } }), advance: (ms: number) => { nowMs += ms } }
}

t.test('counters, gauges and durations render with HELP and TYPE', t => {
  const { metrics } = createMetricsWithClock()
  metrics.addCount('lycheetrack_requests_total', { kind: 'bell-issue', code: 'a"b\\c\nd' })
  metrics.addCount('lycheetrack_requests_total', { code: 'a"b\\c\nd', kind: 'bell-issue' }, 2)
  metrics.setGauge('running', {}, 4)
  for (let ms = 1; ms <= 100; ms++) metrics.recordDuration('lycheetrack_request_duration_ms', { kind: 'signal-query' }, ms)
  t.matchSnapshot(metrics.render())
  t.end()
})

t.test('quantiles exclude durations older than two windows, sum and count do not', t => {
  const { metrics, advance } = createMetricsWithClock()
  metrics.recordDuration('wait', {}, 5000)
  advance(61_000)
  metrics.recordDuration('wait', {}, 10)
  t.match(metrics.render(), /quantile="0.99"} 5\.0/)
  advance(61_000)
  t.match(metrics.render(), /quantile="0.99"} 0\.01/)
  advance(600_000)
  t.match(metrics.render(), /quantile="0.99"} NaN\n.*_sum 5.01\n.*_count 2/)
  t.end()
})

t.test('a label from an unbounded set cannot exhaust the memory', t => {
  const { metrics } = createMetricsWithClock()
  for (let i = 0; i < 1500; i++) metrics.addCount('requests', { id: String(i) })
  t.match(metrics.render(), 'lycheetrack_metric_series_dropped_total 500')
  t.end()
})

t.test('negative and very long durations are limited, and non-finite ones are ignored', t => {
  const { metrics } = createMetricsWithClock()
  for (const ms of [NaN, Infinity, -1, 0, 1e9]) metrics.recordDuration('wait', {}, ms)
  t.match(metrics.render(), '_count 3')
  t.end()
})

t.test('process metrics report processor time, memory and event loop delay', t => {
  const text = createMetrics().render()
  t.match(text, /# TYPE process_cpu_seconds_total counter\nprocess_cpu_seconds_total \d/)
  t.match(text, /\nprocess_resident_memory_bytes \d{7,}/)
  t.match(text, /lycheetrack_event_loop_delay_seconds\{quantile="0.99"\} \d/)
  t.end()
})
