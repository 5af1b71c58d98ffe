import { metricHelp } from './metricHelp.js'
import { MetricsRegistry } from './metricsRegistry.js'
import { ProcessMetrics } from './processMetrics.js'
import { systemClock } from '../../shared/systemClock.js'
import type { Metrics } from '../../types/metrics.js'
import type { MetricsOptions } from './metricsOptions.js'

/** Creates the metrics of a process; `render` returns the Prometheus text format, version 0.0.4. */
export function createMetrics (options: MetricsOptions = {}): Metrics {
  const registry = new MetricsRegistry(options.clock ?? systemClock, { ...metricHelp, ...options.help })
  if (options.processMetrics === false) return registry
  const processMetrics = new ProcessMetrics()
  return {
    addCount: (name, labels, by) => registry.addCount(name, labels, by),
    setGauge: (name, labels, value) => registry.setGauge(name, labels, value),
    recordDuration: (name, labels, ms) => registry.recordDuration(name, labels, ms),
    render: () => {
      processMetrics.report(registry)
      return registry.render()
    }
  }
}
