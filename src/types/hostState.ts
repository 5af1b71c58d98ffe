/** State of an entry host as its peers see it. */
export type HostState = 'live' | 'suspect' | 'dead' | 'leaving'
