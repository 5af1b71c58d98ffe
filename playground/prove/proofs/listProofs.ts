import type { Proof } from '../proof.js'
import { atMostOnce } from './atMostOnce.js'
import { hostKilled } from './hostKilled.js'
import { rollingRestart } from './rollingRestart.js'

/** All proofs, in the order of docs/PROVED.md. */
export function listProofs (): readonly Proof[] {
  return [hostKilled, atMostOnce, rollingRestart]
}
