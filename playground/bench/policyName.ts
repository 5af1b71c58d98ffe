/** The policy of the product, the baselines and the oracle. */
export type PolicyName = 'lycheetrack' | 'round-robin' | 'least-outstanding' | 'fifo' | 'oracle'
