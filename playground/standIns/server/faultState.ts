import type { z } from 'zod'
import type { Random } from '../../../src/types/random.js'
import type { faultSettings } from './faultSettings.js'

/** Current fault settings of one stand-in. */
export class FaultState {
  private current: z.infer<typeof faultSettings> = {}

  constructor (private readonly random: Random) {}

  get settings (): z.infer<typeof faultSettings> {
    return this.current
  }

  setFaults (settings: z.infer<typeof faultSettings>): void {
    this.current = settings
  }

  /** Decides at random whether a fault that affects `share` of all cases is injected into this one. */
  isInjected (share: number | undefined): boolean {
    return share !== undefined && share > 0 && this.random() < share
  }
}
