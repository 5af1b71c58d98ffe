import { admitBytes } from './admitBytes.js'

/** Counts the bytes that groups of requests hold of one limit. */
export class SharedMemory {
  private totalBytes = 0
  private maxBytes = 0
  private readonly groups = new Map<string, number>()

  constructor (readonly limitBytes: number) {}

  /** Bytes that all groups hold. */
  get heldBytes (): number {
    return this.totalBytes
  }

  /** Most bytes that have been held at a time. */
  get peakBytes (): number {
    return this.maxBytes
  }

  countGroupBytes (group: string): number {
    return this.groups.get(group) ?? 0
  }

  /** Takes bytes for a group; false when it may not hold them. */
  admit (group: string, bytes: number): boolean {
    const groupBytes = this.countGroupBytes(group)
    if (!admitBytes({ limitBytes: this.limitBytes, heldBytes: this.totalBytes, groupBytes }, bytes)) return false
    this.totalBytes += bytes
    this.maxBytes = Math.max(this.maxBytes, this.totalBytes)
    this.groups.set(group, groupBytes + bytes)
    return true
  }

  release (group: string, bytes: number): void {
    const groupBytes = this.countGroupBytes(group) - bytes
    this.totalBytes -= bytes
    if (groupBytes > 0) this.groups.set(group, groupBytes)
    else this.groups.delete(group)
  }
}
