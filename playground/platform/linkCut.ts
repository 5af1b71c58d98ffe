/**
 * How a host is cut off from upstreams. `refused`: its connections are reset and new ones refused. `silent`: no byte
 * passes on any connection. `half-open`: connections live on while new ones are refused.
 */
export type LinkCut = 'refused' | 'silent' | 'half-open'
