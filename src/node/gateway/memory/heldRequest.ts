/** What one request holds of the memory for requests. */
export interface HeldRequest {
  /** Takes bytes for the body; false when the request may not hold them. */
  admitBody (bytes: number): boolean
  /** Gives back what is taken for the body. */
  releaseBody (): void
  /**
   * Lets the request, which waits behind others of its connection, be refused for its memory, all of which is given back
   * before `onEvicted` is called. The returned function ends this.
   */
  allowEviction (onEvicted: () => void): () => void
  /** Gives back all that the request holds; further calls do nothing. */
  release (): void
}
