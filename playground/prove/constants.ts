/** Constants of the fault-injection test program (`npm run prove`). */
export const proveConstants = {
  /** Deployments that run at the same time. */
  concurrentDeployments: 3,
  /** Factor on the contracts' rates, so that the load stays below them: rate limits are tested separately. */
  contractRateFactor: 20,
  /** Mean rate of the mixed load on a deployment, unless a scenario sets another. */
  requestsPerSecond: 25,
  /**
   * Time without a byte after which callers rejoin. Streams carry a keepalive every 500 ms, but a JSON answer sends
   * nothing while the host waits up to 2 s for the host that executes the call.
   */
  silenceMs: 3000,
  /** Time after its deadline for which a caller keeps rejoining: longer than the longest freeze. */
  graceMs: 12_000,
  /** Time in which an accepted change must be in force once the fault that prevented it has ended. */
  inForceMs: 5000,
  /** Pause between two reads of the contract revisions in force on a host. */
  pollIntervalMs: 100,
  /** Timeout of such a read. */
  pollTimeoutMs: 1000,
  /** Timeout of a contract change by an operator. */
  operatorTimeoutMs: 8000,
  /** Duration of a freeze: longer than every timeout of the product. */
  freezeMs: 8000,
  stopTimeoutMs: 200,
  /** The program ends itself after this time, in case a part of it hangs. */
  maxRunMs: 900_000,
  /** Violations of one kind that the report shows in full. */
  maxShownPerKind: 2
} as const
