/** How the allowance of a cold upstream is divided. */
export interface ColdAllowance {
  /** Number of hosts that share it. */
  readonly hostCount: number
  /** Requests a second of each of them; 0 when the bound is too small to divide. */
  readonly requestsPerSecond: number
}
