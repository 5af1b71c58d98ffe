/** An upstream told to leave at `leavingAtMs`. */
export interface LeavingUpstream {
  readonly upstreamId: string
  readonly leavingAtMs: number
}
