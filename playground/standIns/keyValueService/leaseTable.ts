interface Lease {
  readonly ttlMs: number
  lapsesAtMs: number
  readonly keys: Set<string>
}

/** Leases and the keys that are attached to them. A key has at most one lease. */
export class LeaseTable {
  private readonly leases = new Map<string, Lease>()
  private readonly leaseOfKey = new Map<string, string>()
  private granted = 0

  grantLease (ttlMs: number, nowMs: number): string {
    const leaseId = `lease-${++this.granted}`
    this.leases.set(leaseId, { ttlMs, lapsesAtMs: nowMs + ttlMs, keys: new Set() })
    return leaseId
  }

  hasLease (leaseId: string): boolean {
    return this.leases.has(leaseId)
  }

  updateLease (leaseId: string, nowMs: number): boolean {
    const lease = this.leases.get(leaseId)
    if (!lease) return false
    lease.lapsesAtMs = nowMs + lease.ttlMs
    return true
  }

  /** Attaches a key to a lease, or to none; an earlier attachment ends. */
  setKey (key: string, leaseId: string | undefined): void {
    const earlier = this.leaseOfKey.get(key)
    if (earlier !== undefined) this.leases.get(earlier)?.keys.delete(key)
    this.leaseOfKey.delete(key)
    if (leaseId === undefined) return
    this.leases.get(leaseId)?.keys.add(key)
    this.leaseOfKey.set(key, leaseId)
  }

  listLapsed (nowMs: number): readonly string[] {
    return [...this.leases].filter(([, lease]) => lease.lapsesAtMs <= nowMs).map(([leaseId]) => leaseId)
  }

  /** Ends the lease and returns its keys. */
  takeKeys (leaseId: string): readonly string[] {
    const keys = [...this.leases.get(leaseId)?.keys ?? []]
    keys.forEach(key => this.leaseOfKey.delete(key))
    this.leases.delete(leaseId)
    return keys
  }
}
