/** An upstream that was told at `leavingAtMs` to leave the deployment. */
export interface LeavingUpstream {
  readonly upstreamId: string
  readonly leavingAtMs: number
}
