/** An upstream whose answer shows that the links of this host work. */
export interface ProbeTarget {
  readonly id: string
  /** `ip:port`. */
  readonly address: string
  readonly service: string
  readonly healthPath: string
  /** Requests of this host that are in progress there. */
  readonly inProgress: number
}
