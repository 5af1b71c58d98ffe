/** Seeds that broke a promise once, with the cause; they stay in the short run of the tests. */
export const soakRegressions: ReadonlyArray<{ readonly seed: number, readonly cause: string }> = []
