import type { SoakRegression } from './soakRegression.js'

/** Seeds that once revealed a violation, with its cause; the test suite runs each of them again. */
export const soakRegressions: readonly SoakRegression[] = [
  { seed: 7013, cause: 'the proxy of the soak sent later bytes before delayed ones' },
  { seed: 8200, cause: 'broken streams without a stated end ended as complete (14ca250)' }
]
