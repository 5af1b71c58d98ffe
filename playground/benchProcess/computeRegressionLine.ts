interface Point {
  readonly x: number
  readonly y: number
}

/** Fits a line through points by least squares. */
export function computeRegressionLine (points: readonly Point[]): { readonly slope: number, readonly intercept: number } {
  const meanX = points.reduce((sum, point) => sum + point.x, 0) / points.length
  const meanY = points.reduce((sum, point) => sum + point.y, 0) / points.length
  const products = points.reduce((sum, point) => sum + (point.x - meanX) * (point.y - meanY), 0)
  const squares = points.reduce((sum, point) => sum + (point.x - meanX) ** 2, 0)
  const slope = products / squares
  return { slope, intercept: meanY - slope * meanX }
}
