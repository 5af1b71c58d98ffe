import type { SuspectRefusal } from './suspectRefusal.js'
import type { SuspectTrial } from './suspectTrial.js'

/** Whether a request may be sent to an upstream, as far as the ends of upstreams are concerned. */
export type SuspectAdmission =
  | { readonly type: 'admitted', readonly trial?: SuspectTrial }
  | { readonly type: 'refused', readonly refusal: SuspectRefusal }
