/** An answer as a client reads it from a connection on which several may follow each other. */
export interface RawAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  /** As it was sent, with its chunk framing if it has any. */
  readonly body: string
}
