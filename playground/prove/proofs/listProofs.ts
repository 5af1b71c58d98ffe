import type { Proof } from '../proof.js'
import { atMostOnce } from './atMostOnce.js'
import { configuration } from './configuration.js'
import { domainLost } from './domainLost.js'
import { hostFrozen } from './hostFrozen.js'
import { hostKilled } from './hostKilled.js'
import { lateAnswers } from './lateAnswers.js'
import { refusals } from './refusals.js'
import { rollingRestart } from './rollingRestart.js'
import { silentLinks } from './silentLinks.js'
import { upstreamLeaving } from './upstreamLeaving.js'

/** All proofs, in the order of docs/PROVED.md. */
export function listProofs (): readonly Proof[] {
  return [hostKilled, atMostOnce, rollingRestart, configuration, upstreamLeaving, hostFrozen, silentLinks, lateAnswers, refusals, domainLost]
}
