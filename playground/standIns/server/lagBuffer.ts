/** Keeps snapshots of a value so that it can be read as it was some time ago, e.g. for load reports that lag. */
export class LagBuffer<T> {
  private snapshots: { readonly atMs: number, readonly value: T }[] = []

  constructor (private readonly maxLagMs = 30_000) {}

  addSnapshot (value: T, nowMs: number): void {
    this.snapshots.push({ atMs: nowMs, value })
    if (this.snapshots.length > 1000) this.snapshots = this.snapshots.filter(snapshot => snapshot.atMs >= nowMs - this.maxLagMs).slice(-600)
  }

  /** The newest snapshot that is at least `lagMs` old, or else the oldest one. */
  findSnapshot (lagMs: number, nowMs: number): T | undefined {
    return (this.snapshots.findLast(snapshot => snapshot.atMs <= nowMs - lagMs) ?? this.snapshots[0])?.value
  }
}
