import type { changeFaultTypes } from './changeFaultTypes.js'
import type { domainFaultTypes } from './domainFaultTypes.js'
import type { pouringFaultTypes } from './pouringFaultTypes.js'
import type { restoreFaultTypes } from './restoreFaultTypes.js'
import type { signalFaultTypes } from './signalFaultTypes.js'
import type { soakFaultTypes } from './soakFaultTypes.js'

/** One fault of a soak test. */
export interface SoakFault {
  readonly type:
    typeof soakFaultTypes[number] |
    typeof signalFaultTypes[number] |
    typeof changeFaultTypes[number] |
    typeof domainFaultTypes[number] |
    typeof pouringFaultTypes[number] |
    typeof restoreFaultTypes[number]
  /** Start, counted from the start of the clients. */
  readonly atMs: number
  /** Duration. */
  readonly forMs: number
  /** Random number that selects the host, upstream or configuration; taken modulo their count. */
  readonly target: number
}
