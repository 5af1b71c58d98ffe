import { monitorEventLoopDelay } from 'node:perf_hooks'
import { metricsConstants } from './constants.js'
import type { IntervalHistogram } from 'node:perf_hooks'
import type { Metrics } from '../../types/metrics.js'

/** Processor time, resident memory and event loop delay of this process, read when metrics are rendered. */
export class ProcessMetrics {
  private readonly delay: IntervalHistogram = monitorEventLoopDelay({ resolution: metricsConstants.eventLoopSampleIntervalMs })
  private readonly startSeconds = Math.round(Date.now() / 1000 - process.uptime())
  private recordedSeconds = 0

  constructor () {
    this.delay.enable()
  }

  /** Updates the metrics; the event loop delay covers the time since the last call. */
  report (metrics: Metrics): void {
    const { user, system } = process.cpuUsage()
    const seconds = (user + system) / 1e6
    metrics.addCount('process_cpu_seconds', {}, seconds - this.recordedSeconds)
    this.recordedSeconds = seconds
    this.reportMemory(metrics)
    metrics.setGauge('process_start_time_seconds', {}, this.startSeconds)
    for (const quantile of [0.5, 0.99]) {
      metrics.setGauge('event_loop_delay_seconds', { quantile: String(quantile) }, this.readDelay(quantile))
    }
    this.delay.reset()
  }

  /** The read takes a file descriptor; without one the last value stays, and the failure is counted. */
  private reportMemory (metrics: Metrics): void {
    try {
      metrics.setGauge('process_resident_memory_bytes', {}, process.memoryUsage.rss())
    } catch {
      metrics.addCount('process_memory_reads_failed', {})
    }
  }

  /** Reads the event loop delay in seconds. The histogram holds whole intervals between two samples; the delay is the part beyond the sample interval. */
  private readDelay (quantile: number): number {
    const nanoseconds = this.delay.count === 0 ? 0 : this.delay.percentile(quantile * 100)
    return Math.max(0, nanoseconds / 1e9 - metricsConstants.eventLoopSampleIntervalMs / 1000)
  }
}
