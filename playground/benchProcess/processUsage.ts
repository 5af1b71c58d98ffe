/** Use of the machine by one process. */
export interface ProcessUsage {
  readonly processorMs: number
  readonly residentBytes: number
}
