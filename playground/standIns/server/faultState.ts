import type { z } from 'zod'
import type { Random } from '../../../src/types/random.js'
import type { faultSettings } from './faultSettings.js'

/** The faults that are set at one stand-in. */
export class FaultState {
  private current: z.infer<typeof faultSettings> = {}

  constructor (private readonly random: Random) {}

  get settings (): z.infer<typeof faultSettings> {
    return this.current
  }

  setFaults (settings: z.infer<typeof faultSettings>): void {
    this.current = settings
  }

  /** Draws whether a fault that hits a share of all cases hits this one. */
  isInjected (share: number | undefined): boolean {
    return share !== undefined && share > 0 && this.random() < share
  }
}
