/** Identifies the engine stream from which a running generation can be resumed. */
export interface ResumeHint {
  readonly upstreamId: string
  readonly streamId: string
  readonly generation: number
}
