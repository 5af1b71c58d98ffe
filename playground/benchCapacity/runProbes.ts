import { createServer } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { createAnswerMemory } from '../fakes/createAnswerMemory.js'
import { createEnginePoolLookup } from '../../src/node/app/createEnginePoolLookup.js'
import { ContractStore } from '../../src/node/contracts/contractStore.js'
import { createStageRouter } from '../../src/node/routing/createStageRouter.js'
import { createSeededRandom } from '../../src/shared/createSeededRandom.js'
import { systemClock } from '../../src/shared/systemClock.js'
import { UpstreamSet } from '../../src/node/upstreams/upstreamSet.js'
import { createSilentLogger } from '../fakes/createSilentLogger.js'
import { buildContracts } from './buildContracts.js'
import type { CapacitySeries } from './capacitySeries.js'
import { capacityConstants } from './constants.js'
import { createSeries } from './createSeries.js'
import { runTimed } from './runTimed.js'

const upstreamCounts = [8, 16, 32, 64]
const settleMs = 2500
const measuredMs = 6000

/** Measures the probes of one host: bytes on its connections to upstreams, CPU time of both ends, and the check of the pool's type. */
export async function runProbes (): Promise<readonly CapacitySeries[]> {
  const bytes: Array<readonly [number, readonly number[]]> = []
  const cpu: Array<readonly [number, readonly number[]]> = []
  for (const count of upstreamCounts) {
    const cost = await runUpstreams(count)
    bytes.push([count, [cost.bytesPerSecond / 1e3]])
    cpu.push([count, [cost.processorShare * 100]])
  }
  const head = { part: 'probes', sizeName: 'upstreams', targetSize: 64 }
  return [
    createSeries({ ...head, figure: 'bytes of TCP payload per host, sent and received', unit: 'KB/s' }, bytes),
    createSeries({ ...head, figure: 'processor, host and stand-in together', unit: '% of a core' }, cpu),
    createSeries({ part: 'probes', figure: 'whether a pool holds engines, asked at each probe', unit: 'us', sizeName: 'accounts', targetSize: capacityConstants.targetAccounts }, capacityConstants.accounts.map(count => [count, runLookup(count, false)])),
    createSeries({ part: 'probes', figure: 'the same, first probe after a contract change', unit: 'us', sizeName: 'accounts', targetSize: capacityConstants.targetAccounts }, capacityConstants.accounts.map(count => [count, runLookup(count, true)]))
  ]
}

async function runUpstreams (count: number): Promise<{ readonly bytesPerSecond: number, readonly processorShare: number }> {
  const server = createServer((request, response) => {
    const isLoad = request.url === '/load'
    const body = isLoad ? { running: 4, waiting: 0, slots: 16, kvUsed: 0.25, state: 'live', atMs: Date.now() } : { events: [], latest: 0 }
    response.writeHead(200, { 'content-type': 'application/json', 'x-upstream-state': 'live' })
    response.end(JSON.stringify(body))
  })
  const sockets = new Set<Socket>()
  server.on('connection', socket => { sockets.add(socket) })
  const countBytes = (): number => [...sockets].reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0)
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const random = createSeededRandom(capacityConstants.seed)
  const set = new UpstreamSet({ answerMemory: createAnswerMemory(), router: createStageRouter({ random }), clock: systemClock, random, logger: createSilentLogger(), isEnginePool: () => true })
  set.applyUpstreams(Array.from({ length: count }, (_, i) => ({ id: `runner-${i}`, address, pool: 'runners', failureDomain: 'a', state: 'live' })))
  set.start()
  await new Promise(resolve => { setTimeout(resolve, settleMs) })
  const [bytesBefore, cpuBefore, startMs] = [countBytes(), process.cpuUsage(), performance.now()]
  await new Promise(resolve => { setTimeout(resolve, measuredMs) })
  const { user, system } = process.cpuUsage(cpuBefore)
  const elapsedMs = performance.now() - startMs
  const bytes = countBytes() - bytesBefore
  await set.stop()
  server.closeAllConnections()
  server.close()
  return { bytesPerSecond: bytes / elapsedMs * 1000, processorShare: (user + system) / 1000 / elapsedMs }
}

function runLookup (accounts: number, hasChanges: boolean): readonly number[] {
  const store = new ContractStore()
  for (const revision of buildContracts(accounts)) store.apply(revision)
  const isEnginePool = createEnginePoolLookup(store)
  const first = store.listRevisions()[0]!
  return runTimed(50, i => {
    if (hasChanges) store.apply({ ...first, revision: i + 2 })
    isEnginePool('pre-order-api')
  })
}
