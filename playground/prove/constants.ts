/** Constants of the failure bench. */
export const proveConstants = {
  /** Deployments that run side by side. */
  concurrentDeployments: 3,
  contractRateFactor: 20,
  requestsPerSecond: 25,
  /**
   * Callers rejoin after this silence. Streams carry a keepalive every 500 ms, but a JSON answer is silent
   * while the host waits up to 2 s for the holder of a call.
   */
  silenceMs: 3000,
  /** Time beyond a deadline in which a caller goes on rejoining: longer than the longest freeze. */
  graceMs: 12_000,
  /** Time in force of an accepted change after the end of what prevented it. */
  inForceMs: 5000,
  pollIntervalMs: 100,
  pollTimeoutMs: 1000,
  operatorTimeoutMs: 8000,
  /** Longer than every timeout of the product. */
  freezeMs: 8000,
  stopTimeoutMs: 200,
  /** The bench ends itself when a part of it hangs. */
  maxRunMs: 900_000,
  maxShownPerKind: 2
} as const
