/** Work that the recent requests of one account and priority ask for, in tokens. */
export interface AccountWork {
  /** Work of requests that come for the first time. */
  readonly newWork: number
  /** Work of requests that were refused before. */
  readonly returningWork: number
}
