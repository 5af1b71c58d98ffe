/** CPU time, memory and traffic of one idle host in one round. */
export interface IdleSample {
  readonly hosts: number
  readonly processorShare: number
  readonly residentBytes: number
  readonly bytesPerSecond: number | undefined
}
