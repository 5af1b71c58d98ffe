/** What one request holds of the memory for requests. */
export interface HeldRequest {
  /** Takes bytes for the body; false when the request may not hold them. */
  admitBody (bytes: number): boolean
  /** Gives back what is taken for the body. */
  releaseBody (): void
  /** Gives back all that the request holds; further calls do nothing. */
  release (): void
}
