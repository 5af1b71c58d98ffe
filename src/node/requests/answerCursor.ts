/** Position of a reader in an answer log: the generation and the tokens of it that the reader has. */
export interface AnswerCursor {
  readonly generation: number
  readonly offset: number
}
