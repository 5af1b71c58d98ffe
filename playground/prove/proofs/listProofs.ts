import type { Proof } from '../proof.js'
import { hostKilled } from './hostKilled.js'

/** All proofs, in the order of docs/PROVED.md. */
export function listProofs (): readonly Proof[] {
  return [hostKilled]
}
