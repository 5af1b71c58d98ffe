/** Receives what a token line parser finds. */
export interface TokenLineSink {
  /** `literal` is the token as a JSON string literal, quotes included. */
  onToken (offset: number, literal: string): void
  onDone (count: number): void
  /** A line that is neither a token, the end, a comment nor blank. */
  onUnknownLine (line: string): void
}
