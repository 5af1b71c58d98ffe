/** Position of a reader in an answer log: a generation, and the number of its tokens that the reader has. */
export interface AnswerCursor {
  readonly generation: number
  readonly offset: number
}
