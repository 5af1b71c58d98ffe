interface StatusResponse {
  readonly status: number
  readonly contentType: string
  readonly body: string
}

/** What a `StatusServer` answers, and how many connections it takes. */
export interface StatusServerOptions {
  /** Connections beyond this number are closed at once, and so are those without a request. */
  readonly maxConnections: number
  /** Called for each connection that is closed for this reason. */
  readonly onRefused: () => void
  /** Answers a request by its method and target. */
  readonly handle: (method: string, target: string) => StatusResponse
}
