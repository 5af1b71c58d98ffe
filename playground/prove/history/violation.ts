import type { Invariant } from './invariant.js'

/** A violated invariant with the part of the history that shows it. */
export interface Violation {
  readonly invariant: Invariant
  readonly subject: string
  readonly detail: string
  readonly trace: readonly string[]
}
