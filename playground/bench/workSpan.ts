/** Work done for one request at one runner between two times. */
export interface WorkSpan {
  readonly requestId: string
  readonly startMs: number
  readonly endMs: number
  readonly workMs: number
  readonly used: boolean
}
