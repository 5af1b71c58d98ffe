/** A soak run. */
export interface SoakOptions {
  /** Path of the bundled product. */
  readonly program: string
  readonly seed: number
  readonly hosts: number
  readonly clients: number
  readonly faults: number
  /** Time in which faults begin and end; the recovery follows. */
  readonly faultMs: number
}
