import { formatLabels } from './formatLabels.js'
import { metricsConstants } from './constants.js'

/** The label combinations of all metrics of one type, bounded in number per metric. */
export class SeriesTable<Series> {
  private readonly metrics = new Map<string, Map<string, Series>>()

  constructor (private readonly createSeries: () => Series) {}

  /** Finds or adds a series; undefined when the metric has too many label combinations. */
  find (name: string, labels: Readonly<Record<string, string>>): Series | undefined {
    let metric = this.metrics.get(name)
    if (metric === undefined) this.metrics.set(name, metric = new Map())
    const key = formatLabels(labels)
    const found = metric.get(key)
    if (found !== undefined) return found
    if (metric.size >= metricsConstants.maxSeriesPerMetric) return undefined
    const series = this.createSeries()
    metric.set(key, series)
    return series
  }

  /** Metric names in order with their series by label text. */
  list (): ReadonlyArray<readonly [string, ReadonlyMap<string, Series>]> {
    return [...this.metrics].sort(([a], [b]) => a < b ? -1 : 1)
  }
}
