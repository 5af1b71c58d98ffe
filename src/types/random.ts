/** Random number generator; uniform in [0, 1). */
export type Random = () => number
