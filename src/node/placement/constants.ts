/** Parameters of model placement. */
export const placementConstants = {
  /** Lifetime of the holder's lease in the key-value service. */
  LEASE_TTL_MS: 6000,
  /** The holder renews its lease at this interval. */
  RENEW_INTERVAL_MS: 1500,
  /** The holder sends no orders in this last part of its lease, so that no order is sent after the expiry. */
  STOP_BEFORE_EXPIRY_MS: 1000,
  /** Longest time between the sending of an order and its effect. A new holder waits this long before its first order. */
  LONGEST_ORDER_DELAY_MS: 5000,
  /** Interval between two placement decisions. */
  PLAN_INTERVAL_MS: 2000,
  /** A runner moves to another model only when the highest load per runner of a model exceeds the lowest by this factor. */
  IMBALANCE_FACTOR: 1.5,
  /** Minimum time between the starts of two model loads, which keeps all runners together below the rate of the weight store. */
  LOAD_INTERVAL_MS: 10_000,
  /** Time constant of the demand by model. Moving a model takes longer than a demand peak of seconds, which must not cause it. */
  DEMAND_DECAY_MS: 30_000,
  /** Number of hosts that try to acquire the lease. Every attempt costs the key-value service a read. */
  LEASE_CANDIDATES: 3,
  /** Timeout of one call to the key-value service or a runner. */
  CALL_TIMEOUT_MS: 2000
} as const
