/** Body of `POST /v1/requests`. */
export interface SubmissionBody {
  readonly kind: string
  readonly input?: unknown
  readonly stream: boolean
  readonly deadlineMs?: number
}
