/** Ways in which a soak's upstream fails the requests that it runs. */
export type UpstreamFault = 'none' | 'errors' | 'answer-lost' | 'hang' | 'torn' | 'extra'
