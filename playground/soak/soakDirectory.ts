import { soakConstants } from './constants.js'
import type { Random } from '../../src/types/random.js'

/** Looks up host addresses in the directories of the hosts and keeps them for a while. */
export class SoakDirectory {
  private addresses: readonly string[] = []
  private addressesExpireAtMs = 0

  /** `directories`: addresses (`ip:port`) of the hosts' directories. */
  constructor (private readonly directories: readonly string[], private readonly random: Random) {}

  /** Chooses a host; undefined while none is known. */
  async readAddress (): Promise<string | undefined> {
    if (performance.now() >= this.addressesExpireAtMs) await this.readAddresses()
    return this.chooseItem(this.addresses)
  }

  /** The known addresses stay in use when no host answers. */
  private async readAddresses (): Promise<void> {
    for (let attempt = 0; attempt < 3; attempt++) {
      const directory = this.chooseItem(this.directories)!
      try {
        const answer = await fetch(`http://${directory}/-/resolution?name=soak.example&region=region-1&zone=zone-1`, {
          signal: AbortSignal.timeout(soakConstants.directoryTimeoutMs)
        })
        const { addresses } = await answer.json() as { addresses?: readonly string[] }
        if (answer.status !== 200 || addresses === undefined) continue
        this.addresses = addresses
        this.addressesExpireAtMs = performance.now() + soakConstants.addressLifetimeMs
        return
      } catch {
        // A host that is down or unreachable does not answer, so another one is asked.
        continue
      }
    }
  }

  private chooseItem<T> (items: readonly T[]): T | undefined {
    return items[Math.floor(this.random() * items.length)]
  }
}
