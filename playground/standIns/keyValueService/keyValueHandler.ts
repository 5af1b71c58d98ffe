import { z } from 'zod'
import type { KeyValueChange } from '../../../src/types/keyValueChange.js'
import type { ExecutionLog } from '../server/executionLog.js'
import type { FaultState } from '../server/faultState.js'
import { RateLimiter } from '../server/rateLimiter.js'
import type { StandInCall } from '../server/standInCall.js'
import type { StandInHandler } from '../server/standInHandler.js'
import { StandInError } from '../server/standInError.js'
import { KeyValueStore } from './keyValueStore.js'

const maxValueBytes = 1_000_000
const heartbeatIntervalMs = 1000
const leaseCheckIntervalMs = 50
const writeBody = z.object({ value: z.string(), expectedVersion: z.number().int().min(0), leaseId: z.string().optional() })
const leaseBody = z.object({ ttlMs: z.number().positive() })

type CallType = 'read' | 'list' | 'write' | 'remove' | 'grantLease' | 'updateLease' | 'removeLease' | 'watch'

/** Stands in for the key-value service of the platform: entries, leases and watches over HTTP, with call counts and rate limits. */
export class KeyValueHandler implements StandInHandler {
  private readonly store = new KeyValueStore()
  private readonly counts: Record<CallType | 'refused', number> = { read: 0, list: 0, write: 0, remove: 0, grantLease: 0, updateLease: 0, removeLease: 0, watch: 0, refused: 0 }
  private readonly writes: RateLimiter
  private readonly reads: RateLimiter
  private readonly leaseTimer: NodeJS.Timeout
  private readonly watches = new Set<() => void>()

  constructor (options: { readonly writesPerSecond: number, readonly readsPerSecond: number }, private readonly faults: FaultState, private readonly log: ExecutionLog) {
    this.writes = new RateLimiter(options.writesPerSecond, performance.now())
    this.reads = new RateLimiter(options.readsPerSecond, performance.now())
    this.leaseTimer = setInterval(() => this.store.removeExpired(performance.now()), leaseCheckIntervalMs)
  }

  async handleCall (call: StandInCall): Promise<void> {
    const type = parseCallType(call)
    this.counts[type]++
    const limiter = type === 'read' || type === 'list' || type === 'watch' ? this.reads : this.writes
    if (!limiter.takeCall(performance.now())) {
      this.counts.refused++
      return call.sendJson(429, { error: 'rate exceeded' }, { 'Retry-After': '1' })
    }
    if (type === 'watch') return this.handleWatch(call)
    const answer = this.runCall(type, call)
    const isWrite = limiter === this.writes
    if (isWrite && this.faults.isInjected(this.faults.settings.loseAnswers)) return call.closeConnection()
    return call.sendJson(answer.status, answer.body)
  }

  handleControl (call: StandInCall): boolean {
    if (call.path !== '/control/calls') return false
    call.sendNow(200, this.counts)
    return true
  }

  stop (): void {
    clearInterval(this.leaseTimer)
    for (const closeWatch of this.watches) closeWatch()
  }

  private runCall (type: Exclude<CallType, 'watch'>, call: StandInCall): { readonly status: number, readonly body: unknown } {
    const nowMs = performance.now()
    const name = call.path.split('/').slice(2).join('/')
    switch (type) {
      case 'read': {
        const entry = this.store.readEntry(name)
        return entry ? { status: 200, body: entry } : { status: 404, body: { error: 'no such key' } }
      }
      case 'list':
        return { status: 200, body: { entries: this.store.listEntries(call.query.get('prefix') ?? ''), revision: this.store.revision } }
      case 'write':
        return this.runWrite(name, call, nowMs)
      case 'remove': {
        const result = this.store.removeEntry(name, call.parseNumber('expectedVersion'), nowMs)
        this.recordWrite(name, 'remove', result.swapped)
        return { status: result.swapped ? 200 : 409, body: { version: result.version, revision: this.store.revision } }
      }
      case 'grantLease':
        return { status: 200, body: { leaseId: this.store.grantLease(call.parseBody(leaseBody).ttlMs, nowMs) } }
      case 'updateLease':
        return this.store.updateLease(name, nowMs) ? { status: 200, body: { leaseId: name } } : { status: 404, body: { error: 'lease has lapsed' } }
      case 'removeLease':
        return this.store.removeLease(name, nowMs) ? { status: 200, body: {} } : { status: 404, body: { error: 'lease has lapsed' } }
    }
  }

  private runWrite (key: string, call: StandInCall, nowMs: number): { readonly status: number, readonly body: unknown } {
    const { value, expectedVersion, leaseId } = call.parseBody(writeBody)
    if (Buffer.byteLength(value) > maxValueBytes) return { status: 413, body: { error: 'values are limited to 1 MB' } }
    const result = this.store.writeEntry(key, expectedVersion, value, leaseId, nowMs)
    this.recordWrite(key, 'write', result.swapped)
    if (result.swapped) return { status: 200, body: { version: result.version, revision: this.store.revision } }
    const isLeaseExpired = leaseId !== undefined && !this.store.hasLease(leaseId, nowMs)
    return { status: 409, body: { version: result.version, ...(isLeaseExpired ? { error: 'lease has lapsed' } : {}) } }
  }

  private recordWrite (key: string, operation: string, swapped: boolean): void {
    const execution = this.log.recordStart(key, operation, Date.now())
    this.log.recordEnd(execution, swapped ? 'written' : 'conflict', Date.now())
  }

  private handleWatch (call: StandInCall): void {
    const { response, hostId } = call
    // A host in `cutFrom` receives nothing more on this watch, also after the fault is cleared: it must open a new one.
    const isHostCut = (): boolean => hostId !== undefined && (this.faults.settings.cutFrom?.includes(hostId) ?? false)
    let hasMissedLine = false
    const send = (line: string): void => {
      hasMissedLine ||= isHostCut()
      if (!hasMissedLine) response.write(line)
    }
    response.writeHead(200, { 'Content-Type': 'application/x-ndjson' })
    response.flushHeaders()
    const stopWatch = this.store.watchChanges(call.query.get('prefix') ?? '', call.parseNumber('after', this.store.revision), (change: KeyValueChange) => send(JSON.stringify(change) + '\n'))
    const heartbeat = setInterval(() => send('\n'), heartbeatIntervalMs)
    const closeWatch = (): void => {
      stopWatch()
      clearInterval(heartbeat)
      this.watches.delete(closeWatch)
    }
    this.watches.add(closeWatch)
    response.on('close', closeWatch)
  }
}

function parseCallType (call: StandInCall): CallType {
  const route = `${call.method} ${call.path.split('/')[1]}`
  const hasName = call.path.split('/').length > 2
  switch (route) {
    case 'GET kv': return hasName ? 'read' : 'list'
    case 'PUT kv': return 'write'
    case 'DELETE kv': return 'remove'
    case 'POST leases': return 'grantLease'
    case 'PUT leases': return 'updateLease'
    case 'DELETE leases': return 'removeLease'
    case 'GET watch': return 'watch'
    default: throw new StandInError(404, `no end point ${call.method} ${call.path}`)
  }
}
