/** Why a placement cannot be told. */
export interface PlacementFailure {
  /** HTTP status. */
  readonly status: number
  readonly code: string
  readonly message: string
}
