/** A response of the store. */
export interface StoreResponse {
  readonly status: number
  /** Decoded JSON; undefined when there is none or it is malformed. */
  readonly body: unknown
  /** Era of the store when it answered; the current one when the answer names none. */
  readonly era: number
}
