const trafficLine = /^\w*bytes_(?:sent|received)\w*(?:\{[^}]*\})? ([\d.e+]+)$/gm

/** Sums all counters of sent and received bytes in Prometheus text; undefined when there are none. */
export function parseTrafficBytes (text: string): number | undefined {
  const values = [...text.matchAll(trafficLine)].map(match => Number(match[1]))
  return values.length === 0 ? undefined : values.reduce((sum, value) => sum + value, 0)
}
