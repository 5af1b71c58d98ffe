/** What may end upstreams: a prompt part that several requests share, or one request that comes again and again. */
export type SuspectKind = 'part' | 'request'
