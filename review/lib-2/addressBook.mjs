/**
 * The addresses that a client knows: it asks a machine that serves `directory`, keeps the answer as long as it says, picks
 * one address at random for each new connection, and leaves out those that have failed it.
 */
export class AddressBook {
  addresses = []
  untilMs = 0

  constructor (hosts, zone) {
    Object.assign(this, { hosts, zone })
  }

  /** Picks the host for a new connection. */
  async pick (failed = new Set()) {
    if (performance.now() >= this.untilMs) await this.update()
    const known = this.hosts.filter(host => this.addresses.includes(host.front))
    const usable = known.filter(host => !failed.has(host))
    const list = usable.length > 0 ? usable : known
    return list[Math.floor(Math.random() * list.length)]
  }

  /** Asks up to three machines, nearest first, for a second each. Without an answer the known addresses are kept. */
  async update () {
    const byZone = [...this.hosts].sort((a, b) => Number(b.zone === this.zone) - Number(a.zone === this.zone))
    for (const host of byZone.slice(0, 3)) {
      const url = `http://${host.directory}/-/resolution?name=pule25.example&region=varna&zone=${this.zone}`
      const answer = await fetch(url, { signal: AbortSignal.timeout(1000) }).then(async response => response.status === 200 ? await response.json() : undefined).catch(() => undefined)
      if (!(answer?.addresses?.length > 0)) continue
      this.addresses = answer.addresses
      this.untilMs = performance.now() + Math.min(answer.ttlS, 5) * 1000
      return
    }
  }
}
