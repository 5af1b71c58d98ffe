/** CPU time and memory of one process. */
export interface ProcessUsage {
  readonly processorMs: number
  readonly residentBytes: number
}
