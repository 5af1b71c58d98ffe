/** The answer of a platform service. */
export interface ServiceAnswer {
  readonly status: number
  /** Names in lower case. */
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly text: string
}
