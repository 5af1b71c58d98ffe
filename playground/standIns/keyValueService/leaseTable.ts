interface Lease {
  readonly ttlMs: number
  expiresAtMs: number
  readonly keys: Set<string>
}

/** Leases and the keys attached to them. A key has at most one lease. */
export class LeaseTable {
  private readonly leases = new Map<string, Lease>()
  private readonly leaseIdByKey = new Map<string, string>()
  private grantedCount = 0

  grantLease (ttlMs: number, nowMs: number): string {
    const leaseId = `lease-${++this.grantedCount}`
    this.leases.set(leaseId, { ttlMs, expiresAtMs: nowMs + ttlMs, keys: new Set() })
    return leaseId
  }

  hasLease (leaseId: string): boolean {
    return this.leases.has(leaseId)
  }

  /** Renews a lease for its time to live; false if it does not exist. */
  updateLease (leaseId: string, nowMs: number): boolean {
    const lease = this.leases.get(leaseId)
    if (!lease) return false
    lease.expiresAtMs = nowMs + lease.ttlMs
    return true
  }

  /** Attaches a key to a lease, or to none, and detaches it from its previous lease. */
  setLeaseOfKey (key: string, leaseId: string | undefined): void {
    const previous = this.leaseIdByKey.get(key)
    if (previous !== undefined) this.leases.get(previous)?.keys.delete(key)
    this.leaseIdByKey.delete(key)
    if (leaseId === undefined) return
    this.leases.get(leaseId)?.keys.add(key)
    this.leaseIdByKey.set(key, leaseId)
  }

  listExpired (nowMs: number): readonly string[] {
    return [...this.leases].filter(([, lease]) => lease.expiresAtMs <= nowMs).map(([leaseId]) => leaseId)
  }

  /** Ends the lease and returns its keys. */
  endLease (leaseId: string): readonly string[] {
    const keys = [...this.leases.get(leaseId)?.keys ?? []]
    keys.forEach(key => this.leaseIdByKey.delete(key))
    this.leases.delete(leaseId)
    return keys
  }
}
