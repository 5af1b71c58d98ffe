import type { CompareAndSwapResult } from './compareAndSwapResult.js'
import type { KeyValueChange } from './keyValueChange.js'
import type { KeyValueEntry } from './keyValueEntry.js'

/**
 * The platform's key-value service. Reads reject with `KeyValueUnavailableError`. Writes reject with
 * `KeyValueUnavailableError` when the write certainly did not take effect and with
 * `KeyValueUncertainError` when its response was lost.
 */
export interface KeyValueService {
  read (key: string): Promise<KeyValueEntry | undefined>
  list (prefix: string): Promise<{ readonly entries: readonly KeyValueEntry[], readonly revision: number }>
  /** Writes the key if it has `expectedVersion`; 0 means that the key must not exist. */
  compareAndSwap (key: string, expectedVersion: number, value: string, leaseId?: string): Promise<CompareAndSwapResult>
  remove (key: string, expectedVersion: number): Promise<CompareAndSwapResult>
  grantLease (ttlMs: number): Promise<string>
  /** Renews the lease; false if the lease has expired. */
  updateLease (leaseId: string): Promise<boolean>
  removeLease (leaseId: string): Promise<void>
  /** Reports changes after `revision` until `signal` aborts; reopens silent or broken watches itself. */
  watch (prefix: string, revision: number, onChange: (change: KeyValueChange) => void, signal: AbortSignal, onAlive?: () => void): void
}
