/** How far the newest accepted revision of a contract is in force. */
export interface ContractStatus {
  /** Newest accepted revision. */
  readonly accepted: number
  /** Number of live hosts on which it is in force. */
  readonly inForce: number
  /** Number of live hosts. */
  readonly hosts: number
  /** One entry per live host, as the server reports it. */
  readonly perHost: ReadonlyArray<Readonly<Record<string, unknown>>>
}
