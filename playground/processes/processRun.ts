/** One run of a managed process, from its start to its end. Times are those of `performance.now()`. */
export interface ProcessRun {
  readonly pid: number | undefined
  readonly startedAtMs: number
  /** Signals sent to the process, in order. */
  readonly signals: ReadonlyArray<{ readonly signal: NodeJS.Signals, readonly atMs: number }>
  /** Lines of standard output. */
  readonly lines: readonly string[]
  readonly errorLines: readonly string[]
  /** Undefined while the process runs; `code` is null after an end by `signal`. */
  readonly end?: { readonly code: number | null, readonly signal: NodeJS.Signals | null, readonly atMs: number }
}
