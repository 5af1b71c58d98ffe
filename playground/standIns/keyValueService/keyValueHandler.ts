import { z } from 'zod'
import type { KeyValueChange } from '../../../src/types/keyValueChange.js'
import type { ExecutionLog } from '../server/executionLog.js'
import type { FaultState } from '../server/faultState.js'
import { RateLimiter } from '../server/rateLimiter.js'
import type { StandInCall } from '../server/standInCall.js'
import type { StandInHandler } from '../server/standInHandler.js'
import { StandInError } from '../server/standInError.js'
import { KeyValueStore } from './keyValueStore.js'

const largestValueBytes = 1_000_000
const heartbeatMs = 1000
const lapseCheckMs = 50
const writeBody = z.object({ value: z.string(), expectedVersion: z.number().int().min(0), leaseId: z.string().optional() })
const leaseBody = z.object({ ttlMs: z.number().positive() })

type CallType = 'read' | 'list' | 'write' | 'remove' | 'grantLease' | 'updateLease' | 'removeLease' | 'watch'

/** Key-value service over HTTP, with call counts and rate limits. */
export class KeyValueHandler implements StandInHandler {
  private readonly store = new KeyValueStore()
  private readonly counts: Record<CallType | 'refused', number> = { read: 0, list: 0, write: 0, remove: 0, grantLease: 0, updateLease: 0, removeLease: 0, watch: 0, refused: 0 }
  private readonly writes: RateLimiter
  private readonly reads: RateLimiter
  private readonly lapseTimer: NodeJS.Timeout
  private readonly watches = new Set<() => void>()

  constructor (options: { readonly writesPerSecond: number, readonly readsPerSecond: number }, private readonly faults: FaultState, private readonly log: ExecutionLog) {
    this.writes = new RateLimiter(options.writesPerSecond, performance.now())
    this.reads = new RateLimiter(options.readsPerSecond, performance.now())
    this.lapseTimer = setInterval(() => this.store.removeExpired(performance.now()), lapseCheckMs)
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
    clearInterval(this.lapseTimer)
    for (const close of this.watches) close()
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
    if (Buffer.byteLength(value) > largestValueBytes) return { status: 413, body: { error: 'values are limited to 1 MB' } }
    const result = this.store.writeEntry(key, expectedVersion, value, leaseId, nowMs)
    this.recordWrite(key, 'write', result.swapped)
    if (result.swapped) return { status: 200, body: { version: result.version, revision: this.store.revision } }
    const lapsed = leaseId !== undefined && !this.store.hasLease(leaseId, nowMs)
    return { status: 409, body: { version: result.version, ...(lapsed ? { error: 'lease has lapsed' } : {}) } }
  }

  private recordWrite (key: string, operation: string, swapped: boolean): void {
    const execution = this.log.recordStart(key, operation, Date.now())
    this.log.recordEnd(execution, swapped ? 'written' : 'conflict', Date.now())
  }

  private handleWatch (call: StandInCall): void {
    const { response, hostId } = call
    // A cut-off host hears nothing, and misses the changes until it opens a new watch.
    const isCut = (): boolean => hostId !== undefined && (this.faults.settings.cutFrom?.includes(hostId) ?? false)
    let missed = false
    const send = (line: string): void => {
      missed ||= isCut()
      if (!missed) response.write(line)
    }
    response.writeHead(200, { 'Content-Type': 'application/x-ndjson' })
    response.flushHeaders()
    const stopWatch = this.store.watchChanges(call.query.get('prefix') ?? '', call.parseNumber('after', this.store.revision), (change: KeyValueChange) => send(JSON.stringify(change) + '\n'))
    const heartbeat = setInterval(() => send('\n'), heartbeatMs)
    const close = (): void => {
      stopWatch()
      clearInterval(heartbeat)
      this.watches.delete(close)
    }
    this.watches.add(close)
    response.on('close', close)
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
