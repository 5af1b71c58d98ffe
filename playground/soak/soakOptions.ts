/** Options of one soak run. */
export interface SoakOptions {
  /** Path of the bundled product. */
  readonly program: string
  readonly seed: number
  /** Numbers of host processes, concurrent clients and faults. */
  readonly hosts: number
  readonly clients: number
  readonly faults: number
  /** Time in which all faults begin and end; the recovery time follows. */
  readonly faultMs: number
}
