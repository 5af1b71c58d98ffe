import type { SoakRegression } from './soakRegression.js'

/** Seeds that once revealed a violation, with its cause; the test suite runs each of them again. */
export const soakRegressions: readonly SoakRegression[] = [
  { seed: 7013, cause: 'the proxy of the soak sent later bytes before delayed ones' },
  { seed: 8200, cause: 'broken streams without a stated end ended as complete (14ca250)' },
  { seed: 9022, signals: 4, pipeliningClients: 0, cause: 'bodies of many clients took more memory than the machine has (163bf16)' },
  { seed: 9092, signals: 4, cause: 'pipelined requests were lost at stops, and a second SIGTERM ended the process (163bf16)' }
]
