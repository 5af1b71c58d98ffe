/** Share of the load that one account sends of one kind. */
export interface WorkloadEntry {
  readonly account: string
  readonly kind: string
  readonly weight: number
  /** Least and largest number of generated tokens, for kinds that generate. */
  readonly tokens?: readonly number[]
  /** Length of the context that the account sends with every request of the kind. */
  readonly contextChars?: number
  /** Time after which the caller loses interest and cancels. */
  readonly abandonAfterMs?: number
}
