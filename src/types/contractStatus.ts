/** Progress of the rollout of a contract change, collected from every host that is not dead. */
export interface ContractStatus {
  readonly account: string
  /** Newest accepted revision; 0 when the account never had a contract. */
  readonly accepted: number
  /** False when the key-value service did not answer and `accepted` is the newest revision known to the hosts. */
  readonly acceptedConfirmed: boolean
  /** Number of hosts at which the accepted revision is in force. */
  readonly inForce: number
  readonly hosts: number
  readonly perHost: ReadonlyArray<{
    readonly host: string
    /** Null when the host did not answer. */
    readonly revision: number | null
    /** Milliseconds since the host last confirmed its contracts; -1 when never, null when it did not answer. */
    readonly confirmedAgeMs: number | null
    readonly state: 'in_force' | 'behind' | 'unconfirmed' | 'silent'
  }>
}
