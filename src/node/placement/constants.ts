/** Times and shares of placement. */
export const placementConstants = {
  /** Lifetime of the holder's lease in the key-value service. */
  LEASE_TTL_MS: 6000,
  /** The holder renews its lease at this interval. */
  RENEW_INTERVAL_MS: 1500,
  /** The holder sends no order in this last part of its lease, so that an order cannot leave after the lapse. */
  STOP_BEFORE_EXPIRY_MS: 1000,
  /** Longest time between the sending of an order and its effect; the next holder waits it out. */
  LONGEST_ORDER_DELAY_MS: 5000,
  /** Interval between two plans. */
  PLAN_INTERVAL_MS: 2000,
  /** A runner moves to another model only when the worst model's load per runner exceeds the best one's by this factor. */
  IMBALANCE_FACTOR: 1.5,
  /** Time between the starts of two loads; keeps the weight store below its rate across all runners. */
  LOAD_INTERVAL_MS: 10_000,
  /** Memory of the demand by model; a crest of seconds must not move models, which takes longer than the crest. */
  DEMAND_DECAY_MS: 30_000,
  /** Hosts that try to hold the lease; every try costs the key-value service a read. */
  LEASE_CANDIDATES: 3,
  /** Timeout of one call to the key-value service or a runner. */
  CALL_TIMEOUT_MS: 2000
} as const
