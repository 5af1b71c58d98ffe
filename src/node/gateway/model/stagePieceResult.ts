/** Outcome of one piece of a stage call. */
export type StagePieceResult =
  | { readonly handle: string }
  | { readonly failure: 'late' | 'input-gone' | 'no-room' | 'error' }
