import { DurationSeries } from './durationSeries.js'
import { metricsConstants } from './constants.js'
import { SeriesTable } from './seriesTable.js'
import type { Clock } from '../../types/clock.js'
import type { Metrics } from '../../types/metrics.js'

type Labels = Readonly<Record<string, string>>

/**
 * In-memory metrics. Rendered names start with the product's prefix; counters end in `_total`, and durations,
 * which are recorded in milliseconds, end in `_seconds`. A missing prefix or suffix is added to the recorded name.
 */
export class MetricsRegistry implements Metrics {
  private readonly counters = new SeriesTable(() => ({ value: 0 }))
  private readonly gauges = new SeriesTable(() => ({ value: 0 }))
  private readonly durations: SeriesTable<DurationSeries>
  private droppedValues = 0

  constructor (private readonly clock: Clock, private readonly help: Labels) {
    this.durations = new SeriesTable(() => new DurationSeries(clock.readMonotonicMs()))
  }

  addCount (name: string, labels: Labels, by = 1): void {
    const series = this.counters.find(name, labels)
    if (series === undefined) this.droppedValues++
    else series.value += by
  }

  setGauge (name: string, labels: Labels, value: number): void {
    const series = this.gauges.find(name, labels)
    if (series === undefined) this.droppedValues++
    else series.value = value
  }

  recordDuration (name: string, labels: Labels, ms: number): void {
    if (!Number.isFinite(ms)) return
    const series = this.durations.find(name, labels)
    if (series === undefined) this.droppedValues++
    else series.record(ms, this.clock.readMonotonicMs())
  }

  render (): string {
    const lines: string[] = []
    for (const [name, series] of this.counters.list()) {
      const full = formatName(name, '_total')
      this.addHeader(lines, full, 'counter')
      for (const [labels, { value }] of series) lines.push(`${full}${labels} ${value}`)
    }
    for (const [name, series] of this.gauges.list()) {
      const full = formatName(name, '')
      this.addHeader(lines, full, 'gauge')
      for (const [labels, { value }] of series) lines.push(`${full}${labels} ${value}`)
    }
    for (const [name, series] of this.durations.list()) this.addDurations(lines, name, series)
    if (this.droppedValues > 0) {
      const full = formatName('metric_series_dropped', '_total')
      this.addHeader(lines, full, 'counter')
      lines.push(`${full} ${this.droppedValues}`)
    }
    return lines.join('\n') + '\n'
  }

  private addDurations (lines: string[], name: string, series: ReadonlyMap<string, DurationSeries>): void {
    const full = formatName(name.replace(/_ms$/, ''), '_seconds')
    const nowMs = this.clock.readMonotonicMs()
    this.addHeader(lines, full, 'summary')
    for (const [labels, durations] of series) {
      const values = durations.computeQuantiles(metricsConstants.quantiles, nowMs)
      const start = labels === '' ? '{' : `${labels.slice(0, -1)},`
      values.forEach((value, i) => lines.push(`${full}${start}quantile="${metricsConstants.quantiles[i]}"} ${value}`))
      lines.push(`${full}_sum${labels} ${durations.getSumSeconds()}`, `${full}_count${labels} ${durations.getCount()}`)
    }
  }

  private addHeader (lines: string[], name: string, type: string): void {
    const text = this.help[name] ?? `${name.replace(metricsConstants.prefix, '').replaceAll('_', ' ')}.`
    lines.push(`# HELP ${name} ${text.replaceAll('\\', '\\\\').replaceAll('\n', '\\n')}`, `# TYPE ${name} ${type}`)
  }
}

/** Formats the rendered name of a metric. Process metrics keep their conventional names without the product's prefix. */
function formatName (name: string, suffix: string): string {
  const clean = name.replace(/[^a-zA-Z0-9_]/g, '_')
  const prefixed = clean.startsWith(metricsConstants.prefix) || clean.startsWith('process_') ? clean : metricsConstants.prefix + clean
  return prefixed.endsWith(suffix) ? prefixed : prefixed + suffix
}
