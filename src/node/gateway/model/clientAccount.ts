/** A customer whose API keys admit requests. */
export interface ClientAccount {
  readonly name: string
  /** Overrides the priority of routes when set. */
  readonly priority?: number
}
