/** What the order of requests at engines depends on. */
export interface AdmissionDemand {
  /** Id of this try; every try of a request has its own. */
  readonly requestId: string
  /** 0 is the most urgent. */
  readonly priority: number
  /** Empty for requests without an account. */
  readonly account: string
  /** Prompt tokens that an engine has to read at least. */
  readonly tokens: number
  readonly timeLeftMs: number
  /** Whether the request itself shows that it was tried before. */
  readonly isReturning: boolean
  /** Digest that is the same for all tries of the request; undefined when it is not known. */
  readonly findDigest: () => string | undefined
}
