/** A client account, whose API keys admit requests. */
export interface ClientAccount {
  readonly name: string
  /** Takes precedence over the priority of routes when set; 0 is the most urgent. */
  readonly priority?: number
}
