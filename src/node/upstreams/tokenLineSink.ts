/** Callbacks of a token line parser. */
export interface TokenLineSink {
  /** `literal` is the token as a JSON string literal, quotes included. */
  onToken (offset: number, literal: string): void
  /** Called for the line that ends the stream, with the total number of tokens. */
  onDone (count: number): void
  /** Called for a line that is neither a token, the end of the stream, a comment nor blank. */
  onUnknownLine (line: string): void
}
