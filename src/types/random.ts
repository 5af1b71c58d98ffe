/** Source of randomness; uniform in [0, 1). */
export type Random = () => number
