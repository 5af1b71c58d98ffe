/** A request as an upstream stand-in received it; header names in lower case. */
export interface StandInRequest {
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: string
}
