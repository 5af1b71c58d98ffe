import t from 'tap'
import { createMemoryMetrics } from '../../../../../playground/fakes/createMemoryMetrics.js'
import { createSilentLogger } from '../../../../../playground/fakes/createSilentLogger.js'
import { MemoryStore } from '../../../../../playground/fakes/memoryStore.js'
import { StoreEra } from '../../store/storeEra.js'
import { StoreUnavailableError } from '../../../../shared/storeUnavailableError.js'
import { StoreUncertainError } from '../../../../shared/storeUncertainError.js'
import { StreamVersions } from '../streamVersions.js'
import { versionConstants } from '../constants.js'
import { VirtualClock } from '../../../../../playground/fakes/virtualClock.js'
import type { StoreItem } from '../../model/storeItem.js'
import type { StoreLease } from '../../model/storeLease.js'
import type { StorePosition } from '../../model/storePosition.js'
import type { StoreWrite } from '../../model/storeWrite.js'

type PrefixItems = { readonly items: readonly StoreItem[], readonly position: StorePosition }

const service = 'llm'
const prefix = 'streams/'
const { signal } = new AbortController()
const logger = createSilentLogger()
const metrics = createMemoryMetrics()

/** One host's way to a store: its calls may be refused, and the answers to its writes may be lost. */
class StorePath extends MemoryStore {
  isCutOff = false
  refusesWrites = false
  losesAnswers = false
  /** Time after which a write without an answer is given up. */
  answerTimeoutMs = 0
  private readonly unansweredWrites: StoreWrite[] = []
  private leaseCount = 0

  constructor (private readonly target: MemoryStore, private readonly clock: VirtualClock) { super() }

  override async readPrefix (prefix: string): Promise<PrefixItems> {
    if (this.isCutOff) throw new StoreUnavailableError('cut off')
    return await this.target.readPrefix(prefix)
  }

  override async writeConditionally (write: StoreWrite): Promise<boolean> {
    if (this.isCutOff || this.refusesWrites) throw new StoreUnavailableError('cut off')
    if (this.losesAnswers) {
      this.unansweredWrites.push(write)
      if (this.answerTimeoutMs > 0) await this.clock.wait(this.answerTimeoutMs)
      throw new StoreUncertainError('no answer')
    }
    return await this.target.writeConditionally(write)
  }

  override async createLease (): Promise<StoreLease> {
    if (this.isCutOff) throw new StoreUnavailableError('cut off')
    return { id: ++this.leaseCount, era: this.target.era }
  }

  /** Carries out the writes whose answers were lost. */
  async applyUnanswered (): Promise<void> {
    for (const write of this.unansweredWrites) await this.target.writeConditionally(write)
  }
}

/** Two hosts with their own ways to one store, and upstreams of two versions, most of them of v1. */
function createHosts () {
  const store = new MemoryStore()
  const clock = new VirtualClock()
  const hosts = [0, 1].map(i => {
    const storeEra = new StoreEra(logger, metrics)
    storeEra.observeAnswer(store.era, undefined)
    const path = new StorePath(store, clock)
    const listVersions = (): readonly string[] => ['v1', 'v1', 'v2']
    const fleet = { countHosts: () => 2, hostId: `host-${i}`, listHostIds: () => ['host-0', 'host-1'] }
    const options = { store: path, storeEra, prefix, clock, timers: clock, logger, metrics }
    const versions = new StreamVersions({ ...options, ...fleet, listVersions })
    versions.start()
    return { versions, storeEra, path }
  })
  t.teardown(() => { for (const { versions } of hosts) versions.stop() })
  const start = async (host: number, id: string, version: string): Promise<boolean> => {
    const isAdmitted = hosts[host]!.versions.admitStart(service, id, version)
    await clock.runFor(3000)
    return await isAdmitted
  }
  /** Version at which a host would continue a stream; undefined when it refuses to. */
  const resume = async (host: number, id: string): Promise<string | undefined> => {
    const origin = await hosts[host]!.versions.findOrigin(service, id, signal)
    return origin.type === 'known' ? origin.version : undefined
  }
  return { store, clock, hosts, start, resume }
}

t.test('guards against a late write without an answer that removes newer records', async t => {
  const { clock, hosts, start, resume } = createHosts()
  await start(0, 'a', 'v1')
  const { path, versions } = hosts[0]!
  path.losesAnswers = true
  const unanswered = versions.admitStart(service, 'b', 'v2')
  await clock.runFor(1)
  path.losesAnswers = false
  await clock.runFor(2 * versionConstants.writeRetryMs)
  t.ok(await unanswered, 'written again')
  t.ok(await start(0, 'c', 'v2'))
  await path.applyUnanswered()
  t.equal(await resume(1, 'c'), 'v2')
})

t.test('guards against a second attempt at the base version whose record is not written', async t => {
  const { hosts, start, resume } = createHosts()
  await start(0, 'a', 'v1')
  t.ok(await start(0, 'b', 'v2'))
  hosts[0]!.path.refusesWrites = true
  const hasBegun = await start(0, 'b', 'v1')
  t.notOk(hasBegun && await resume(1, 'b') === 'v2', 'began at v1 and goes on at v2')
})

t.test('guards against streams that begin without a record at a host that does not know the base version', async t => {
  const { hosts, start, resume } = createHosts()
  hosts[0]!.path.isCutOff = true
  const hasBegun = await start(0, 'b', 'v2')
  await start(1, 'a', 'v1')
  t.notOk(hasBegun && await resume(1, 'b') === 'v1', 'began at v2 and goes on at v1')
})

t.test('guards against the same at a host that is cut off behind a restore of the store', async t => {
  const { store, clock, hosts, start, resume } = createHosts()
  await start(0, 'a', 'v1')
  store.era++
  for (const { storeEra } of hosts) storeEra.observeAnswer(store.era, undefined)
  hosts[0]!.path.isCutOff = true
  const hasBegun = await start(0, 'b', 'v2')
  await clock.runFor(versionConstants.restoreMs)
  t.notOk(hasBegun && await resume(1, 'b') === 'v1', 'began at v2 and goes on at v1')
})

t.test('guards against new streams that wait for a record again and again while the store does not answer', async t => {
  const { clock, hosts, start } = createHosts()
  await start(0, 'a', 'v1')
  const { path, versions } = hosts[0]!
  path.losesAnswers = true
  path.answerTimeoutMs = 1500
  const admissions: Array<Promise<boolean>> = []
  for (let i = 0; i < 1000; i++) {
    const version = versions.findRequiredVersion(service) ?? (i % 2 === 0 ? 'v1' : 'v2')
    admissions.push(versions.admitStart(service, `outage-${i}`, version))
    await clock.runFor(10)
  }
  await clock.runFor(3000)
  const refused = (await Promise.all(admissions)).filter(isAdmitted => !isAdmitted).length
  t.ok(refused <= 60, `${refused} of 1000, which arrived within 10 s, are refused`)
  path.losesAnswers = false
  await clock.runFor(3000)
  t.equal(versions.findRequiredVersion(service), undefined, 'streams of both versions begin after the outage')
})
