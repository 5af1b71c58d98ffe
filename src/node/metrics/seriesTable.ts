import { formatLabels } from './formatLabels.js'
import { metricsConstants } from './constants.js'

/** Series of all metrics of one type, by metric name and label combination. The number of series per metric is bounded. */
export class SeriesTable<Series> {
  private readonly metrics = new Map<string, Map<string, Series>>()

  constructor (private readonly createSeries: () => Series) {}

  /** Finds or adds a series; undefined if the series is new and its metric already has the maximum number of label combinations. */
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

  /** Lists the metrics sorted by name, with their series by label text. */
  list (): ReadonlyArray<readonly [string, ReadonlyMap<string, Series>]> {
    return [...this.metrics].sort(([a], [b]) => a < b ? -1 : 1)
  }
}
