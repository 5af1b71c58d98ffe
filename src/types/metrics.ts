/** Metrics of one process. Label values must come from bounded sets. */
export interface Metrics {
  addCount (name: string, labels: Readonly<Record<string, string>>, by?: number): void
  setGauge (name: string, labels: Readonly<Record<string, string>>, value: number): void
  /** Records a duration in milliseconds in a histogram. */
  recordDuration (name: string, labels: Readonly<Record<string, string>>, ms: number): void
  /** Renders all metrics in the Prometheus text format. */
  render (): string
}
