/** A leaving upstream finishes what it runs and gets no new work. */
export type UpstreamState = 'live' | 'leaving' | 'gone'
