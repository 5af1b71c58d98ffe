import t from 'tap'
import { chooseAddresses } from '../chooseAddresses.js'
import { createSeededRandom } from '../../../../shared/createSeededRandom.js'
import { createSilentLogger } from '../../../../../playground/fakes/createSilentLogger.js'
import { HostDirectory } from '../hostDirectory.js'
import type { HostEntry } from '../../model/hostEntry.js'

const domains = ['quay-a', 'quay-b', 'quay-c']
const buildHost = (index: number, overrides: Partial<HostEntry> = {}): HostEntry => ({
  id: `host-${index}`,
  failureDomain: domains[index % domains.length]!,
  clientAddress: `10.0.0.${index}:1`,
  peerAddress: `10.0.0.${index}:2`,
  cores: index % 2 === 0 ? 1.35 : 0.8,
  isReady: true,
  startedAtMs: 0,
  ...overrides
})
const buildHosts = (count: number): readonly HostEntry[] => Array.from({ length: count }, (_, i) => buildHost(i))
const createDirectory = (): HostDirectory => new HostDirectory(buildHost(0), createSilentLogger(), () => {})

t.test('every host of a fleet larger than an address response gets load, in proportion to its cores', async t => {
  const random = createSeededRandom(1)
  const hosts = buildHosts(120)
  const counts = new Map<string, number>()
  for (let i = 0; i < 3000; i++) {
    const addresses = chooseAddresses(hosts, domains[i % domains.length], random)
    t.equal(addresses.length, 64)
    for (const address of addresses) counts.set(address, (counts.get(address) ?? 0) + 1)
  }
  const computeMean = (parity: number): number => hosts.filter((_, i) => i % 2 === parity).reduce((sum, host) => sum + (counts.get(host.clientAddress) ?? 0), 0) / 60
  t.equal(counts.size, 120)
  t.ok(Math.min(...counts.values()) > 800, `the least listed host is in ${Math.min(...counts.values())} of 3000 responses`)
  t.ok(computeMean(0) > 1.1 * computeMean(1), `${computeMean(0)} and ${computeMean(1)}`)
  t.same(chooseAddresses(hosts.slice(0, 10), undefined, random).length, 10, 'a small fleet is listed whole')
})

t.test('an outage of the store does not make every host schedule all stage work', async t => {
  const directory = createDirectory()
  const entries = buildHosts(6)
  directory.applySnapshot(entries, false, 0)
  const scheduler = directory.chooseScheduler(new Set(), ['quay-b']).id
  directory.applySnapshot([buildHost(0)], true, 10_000)
  t.equal(directory.chooseScheduler(new Set(), ['quay-b']).id, scheduler, 'leases expired while the store was away')
  directory.applyEntry(entries.find(entry => entry.id === scheduler)!)
  directory.removeMissing(13_000)
  t.same(directory.listReady().map(host => host.id), ['host-0', scheduler], 'hosts that do not register again are gone')
})

t.test('the stage work of a cell is scheduled in its domains, by one of the largest hosts, and elsewhere when none is left', async t => {
  const directory = createDirectory()
  directory.applySnapshot(buildHosts(12), false, 0)
  const schedulers = domains.map(domain => directory.chooseScheduler(new Set(), [domain]))
  t.same(schedulers.map(host => host.failureDomain), domains)
  t.ok(schedulers.every(host => host.cores === 1.35))
  const excluded = new Set(buildHosts(12).filter(host => host.failureDomain === 'quay-b').map(host => host.id))
  t.not(directory.chooseScheduler(excluded, ['quay-b']).failureDomain, 'quay-b')
})
