/** Writes lines, which are passed without their line feed. */
export interface LineWriter {
  (line: string): void
  /** Resolves when the lines have been written, or when the output takes none. */
  flush (): Promise<void>
}
