import t from 'tap'
import { createBurnReporter } from '../createBurnReporter.js'
import { createLogger } from '../../logging/createLogger.js'
import { createSample } from './createSample.js'
import { PeerUnavailableError } from '../../../shared/peerUnavailableError.js'
import type { BurnReporterOptions } from '../burnReporterOptions.js'

const now = Date.UTC(2026, 0, 5, 6)
const handlers = new Map<string, () => unknown>()
const hosts = [1, 2, 3, 4].map(number => ({ id: `host-${number}`, peerAddress: `peer-${number}` }))

function createHost (self: typeof hosts[number]) {
  const options = {
    contracts: { find: () => ({ contract: { kinds: { 'signal-query': { objective: { attainment: 0.9, latencyMs: 500 } } } } }) },
    membership: { getSelf: () => self, listHosts: () => hosts },
    transport: {
      handle: (_method: unknown, handler: () => unknown) => handlers.set(self.peerAddress, handler),
      send: async (address: string) => {
        if (address === 'peer-3') throw new PeerUnavailableError('peer-3 does not answer')
        return address === 'peer-4' ? { report: 'not JSON' } : handlers.get(address)!()
      }
    },
    clock: { readMonotonicMs: () => 0, readWallMs: () => now },
    logger: createLogger({ write () {} })
  }
  return createBurnReporter(options as unknown as BurnReporterOptions)
}

t.test('the report sums the counters of the live hosts and lists the hosts without a valid response', async t => {
  const [first, second] = hosts.slice(0, 2).map(createHost)
  first!.observe(createSample(true, now))
  second!.observe(createSample(false, now))
  second!.observe(createSample(false, now, { kind: 'constructor' }))
  const report = await first!.readReport()
  t.match(report, { hostIds: ['host-1', 'host-2'], missingHostIds: ['host-3', 'host-4'], omittedEntries: 0 })
  t.match(report.entries, [
    { kind: 'signal-query', windows: { '1h': { total: 2, missed: 1 } }, objective: { attainment: 0.9 } },
    { kind: 'constructor', objective: null, budgetLeft: null }
  ])
})
