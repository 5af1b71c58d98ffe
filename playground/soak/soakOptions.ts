/** Options of one soak run. */
export interface SoakOptions {
  /** Path of the bundled product. */
  readonly program: string
  /** Path of another version of the product. All hosts begin with it and are replaced one after the other. */
  readonly replacedProgram?: string
  readonly seed: number
  /** Numbers of host processes, clients that send one request at a time, and clients that pipeline. */
  readonly hosts: number
  readonly clients: number
  readonly pipeliningClients: number
  /** Numbers of faults of `soakFaultTypes`, of `signalFaultTypes` and of `changeFaultTypes`. */
  readonly faults: number
  readonly signals: number
  readonly changes: number
  /** Number of faults of `domainFaultTypes`; 0 when absent. */
  readonly evacuations?: number
  /** Number of faults of `pouringFaultTypes`; 0 when absent. */
  readonly pourings?: number
  /** Number of faults of `restoreFaultTypes`; 0 when absent. */
  readonly restores?: number
  /** Time in which all faults begin and end; the recovery time follows. */
  readonly faultMs: number
}
