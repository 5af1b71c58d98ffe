import type { Proof } from '../proof.js'
import { atMostOnce } from './atMostOnce.js'
import { configuration } from './configuration.js'
import { hostKilled } from './hostKilled.js'
import { rollingRestart } from './rollingRestart.js'
import { upstreamLeaving } from './upstreamLeaving.js'

/** All proofs, in the order of docs/PROVED.md. */
export function listProofs (): readonly Proof[] {
  return [hostKilled, atMostOnce, rollingRestart, configuration, upstreamLeaving]
}
