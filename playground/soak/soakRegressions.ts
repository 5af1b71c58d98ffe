/** Seeds that once revealed a violation, with its cause; the test suite runs each of them again. */
export const soakRegressions: ReadonlyArray<{ readonly seed: number, readonly cause: string }> = []
