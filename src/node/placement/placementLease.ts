import { createActor } from 'xstate'
import { KeyValueUncertainError } from '../../shared/keyValueUncertainError.js'
import type { Clock } from '../../types/clock.js'
import type { KeyValueService } from '../../types/keyValueService.js'
import { placementConstants } from './constants.js'
import { leaseMachine } from './leaseMachine.js'

interface HolderRecord {
  readonly hostId: string
  readonly token: string
}

interface FencingRecord {
  readonly number: number
  readonly token: string
}

const LEASE_KEY = 'placement/lease'
const FENCING_KEY = 'placement/fencing'

/**
 * The lease that makes one host the only sender of orders to model engines, with a fencing number that increases
 * with each new holder. Validity is computed on the host's monotonic clock from the time before each renewal was
 * sent, so that a paused host finds its lease expired when it resumes.
 */
export class PlacementLease {
  private readonly stateMachine = createActor(leaseMachine).start()
  private leaseId: string | undefined
  private validUntilMs = -Infinity
  private acquiredAtMs = -Infinity
  private fencing = 0

  constructor (
    private readonly hostId: string,
    private readonly keyValue: KeyValueService,
    private readonly clock: Clock,
    private readonly createToken: () => string
  ) {}

  /** The fencing number to send with an order, or undefined while this host must not send orders. */
  getFencing (): number | undefined {
    this.updateState()
    return this.stateMachine.getSnapshot().value === 'holder' ? this.fencing : undefined
  }

  /** Renews the lease or tries to acquire it. Must be called every `RENEW_INTERVAL_MS`. */
  async update (): Promise<void> {
    this.updateState()
    if (this.leaseId !== undefined) return await this.updateLease(this.leaseId)
    await this.takeLease()
  }

  /** Releases the lease, so that another host can take over immediately. */
  async close (): Promise<void> {
    const leaseId = this.leaseId
    this.endLease()
    if (leaseId !== undefined) await this.keyValue.removeLease(leaseId)
  }

  private updateState (): void {
    const nowMs = this.clock.readMonotonicMs()
    if (nowMs >= this.validUntilMs - placementConstants.STOP_BEFORE_EXPIRY_MS) return this.endLease()
    if (nowMs >= this.acquiredAtMs + placementConstants.LONGEST_ORDER_DELAY_MS) this.stateMachine.send({ type: 'settle' })
  }

  private async updateLease (leaseId: string): Promise<void> {
    const startMs = this.clock.readMonotonicMs()
    const renewed = await this.keyValue.updateLease(leaseId)
    if (!renewed) return this.endLease()
    // A renewal that returns after the lease was released must not extend it.
    if (this.leaseId === leaseId) this.validUntilMs = startMs + placementConstants.LEASE_TTL_MS
  }

  private async takeLease (): Promise<void> {
    const holder = await this.keyValue.read(LEASE_KEY)
    if (holder !== undefined) return
    const startMs = this.clock.readMonotonicMs()
    const leaseId = await this.keyValue.grantLease(placementConstants.LEASE_TTL_MS)
    const record: HolderRecord = { hostId: this.hostId, token: this.createToken() }
    if (!await this.writeHolder(record, leaseId)) return
    const fencing = await this.takeFencing(record.token)
    if (fencing === undefined) return await this.keyValue.removeLease(leaseId)
    this.fencing = fencing
    this.leaseId = leaseId
    this.validUntilMs = startMs + placementConstants.LEASE_TTL_MS
    this.acquiredAtMs = this.clock.readMonotonicMs()
    this.stateMachine.send({ type: 'acquire' })
  }

  private async writeHolder (record: HolderRecord, leaseId: string): Promise<boolean> {
    try {
      return (await this.keyValue.compareAndSwap(LEASE_KEY, 0, JSON.stringify(record), leaseId)).swapped
    } catch (error) {
      if (!(error instanceof KeyValueUncertainError)) throw error
      const stored = await this.keyValue.read(LEASE_KEY)
      return stored !== undefined && (JSON.parse(stored.value) as HolderRecord).token === record.token
    }
  }

  /** Increments the fencing number. Undefined when another host did so concurrently, which means that this host's lease has expired. */
  private async takeFencing (token: string): Promise<number | undefined> {
    const entry = await this.keyValue.read(FENCING_KEY)
    const number = (entry === undefined ? 0 : (JSON.parse(entry.value) as FencingRecord).number) + 1
    try {
      const result = await this.keyValue.compareAndSwap(FENCING_KEY, entry?.version ?? 0, JSON.stringify({ number, token }))
      return result.swapped ? number : undefined
    } catch (error) {
      if (!(error instanceof KeyValueUncertainError)) throw error
      const stored = await this.keyValue.read(FENCING_KEY)
      const record = stored === undefined ? undefined : JSON.parse(stored.value) as FencingRecord
      return record?.token === token ? record.number : undefined
    }
  }

  private endLease (): void {
    this.leaseId = undefined
    this.validUntilMs = -Infinity
    this.stateMachine.send({ type: 'lose' })
  }
}
