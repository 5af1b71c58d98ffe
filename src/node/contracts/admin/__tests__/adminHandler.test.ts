import t from 'tap'
import type { ContractCluster } from '../../../../../playground/fakes/contractCluster.js'
import { createSilentLogger } from '../../../../../playground/fakes/createSilentLogger.js'
import { startContractCluster } from '../../../../../playground/fakes/startContractCluster.js'
import type { AdminHandler } from '../../../../types/adminHandler.js'
import type { AdminRequest } from '../../../../types/adminRequest.js'
import type { AdminResponse } from '../../../../types/adminResponse.js'
import type { ContractPropagation } from '../../contractPropagation.js'
import { createAdminHandler } from '../createAdminHandler.js'

const contract = {
  account: 'pier',
  tokenDigests: ['a'.repeat(64)],
  requestsPerSecond: 5,
  tokensPerSecond: 0,
  kinds: {
    issue: {
      stages: [{ name: 'issue', operation: 'call', pool: 'bell-control', after: [], serviceOperation: 'issue' }],
      deadlineMs: 1000,
      priority: 5,
      idempotent: false,
      objective: { attainment: 0.99, latencyMs: 500 }
    }
  }
}

async function startHandler (): Promise<{ cluster: ContractCluster, handler: AdminHandler }> {
  const cluster = await startContractCluster(1, {}, 4)
  const host = cluster.hosts.get('host-0')
  const handler = createAdminHandler({
    contracts: cluster.contracts.get('host-0') as ContractPropagation,
    membership: host?.membership as never,
    scheduler: cluster.clock,
    logger: createSilentLogger(),
    startDrain: async () => ({ state: 'leaving' }),
    readBurn: async query => ({ query })
  })
  return { cluster, handler }
}

async function runRequest (cluster: ContractCluster, handler: AdminHandler, method: AdminRequest['method'], path: string, rest: Partial<AdminRequest> = {}): Promise<AdminResponse> {
  let response: AdminResponse | undefined
  const request = { method, path: `/admin/v1/${path}`, query: {}, operator: 'ivana', signal: new AbortController().signal, ...rest }
  handler.handle(request).then(value => { response = value }, () => {})
  await cluster.runUntil(() => response !== undefined, 10_000)
  return response as AdminResponse
}

t.test('contracts are created, read and deleted with the expected revision', async t => {
  const { cluster, handler } = await startHandler()
  const seen: unknown[] = []
  const record = async (method: AdminRequest['method'], path: string, rest: Partial<AdminRequest> = {}): Promise<void> => {
    const { status, body } = await runRequest(cluster, handler, method, path, rest)
    seen.push(`${method} ${path} ${rest.ifMatch ?? ''}`.trim(), status, JSON.parse(JSON.stringify(body).replaceAll(/"(token|atMs)":("[^"]*"|\d+)/g, '"$1":0')))
  }
  await record('PUT', 'contracts/pier', { body: contract })
  await record('PUT', 'contracts/pier', { body: contract, ifMatch: 'x' })
  await record('PUT', 'contracts/quay', { body: { ...contract, requestsPerSecond: -1 }, ifMatch: '0' })
  await record('PUT', 'contracts/pier', { body: contract, ifMatch: '0' })
  await record('PUT', 'contracts/quay', { body: { ...contract, account: 'quay' }, ifMatch: '0' })
  await record('PUT', 'contracts/pier', { body: contract, ifMatch: '0' })
  await record('GET', 'contracts')
  await record('GET', 'contracts/pier')
  await record('DELETE', 'contracts/pier', { ifMatch: '"1"' })
  await record('GET', 'contracts/pier')
  await record('DELETE', 'contracts/pier', { ifMatch: '2' })
  await record('GET', 'contracts/pier/history')
  await cluster.clock.runFor(5000)
  const status = await runRequest(cluster, handler, 'GET', 'contracts/pier/status')
  t.match(status.body, { type: 'json', value: { accepted: 2, inForce: 4, hosts: 4 } })
  t.matchSnapshot(seen)
})

t.test('a change accepted by another host is visible before it has propagated to this one', async t => {
  const { cluster, handler } = await startHandler()
  cluster.network.isCut = () => true
  for (const link of cluster.keyValueConnections.values()) link.isChangeLost = () => true
  await cluster.runChange('host-1', 'pier', 0)
  t.match(await runRequest(cluster, handler, 'GET', 'contracts/pier'), { status: 200, body: { value: { revision: 1, confirmed: true } } })
})

t.test('hosts, drain, burn and unknown resources', async t => {
  const { cluster, handler } = await startHandler()
  const hosts = await runRequest(cluster, handler, 'GET', 'hosts')
  t.match(hosts.body, { value: { self: 'host-0', hosts: [{ id: 'host-0', state: 'live' }, { id: 'host-1' }, { id: 'host-2' }, { id: 'host-3' }] } })
  t.match(await runRequest(cluster, handler, 'POST', 'drain'), { status: 202, body: { value: { state: 'leaving' } } })
  t.match(await runRequest(cluster, handler, 'GET', 'burn', { query: { window: '1h' } }), { status: 200, body: { value: { query: { window: '1h' } } } })
  t.match(await runRequest(cluster, handler, 'GET', 'constructor'), { status: 404 })
  t.match(await runRequest(cluster, handler, 'POST', 'hosts'), { status: 405 })
})

t.test('a watch sends the current contracts, then changes, and only the newest revision to a slow reader', async t => {
  const { cluster, handler } = await startHandler()
  await cluster.runChange('host-1', 'pier', 0)
  await cluster.clock.runFor(5000)
  const controller = new AbortController()
  const { body } = await runRequest(cluster, handler, 'GET', 'contracts/watch', { signal: controller.signal })
  const lines = (body as { lines: AsyncIterable<unknown> }).lines[Symbol.asyncIterator]()
  t.match((await lines.next()).value, { type: 'contract', account: 'pier', revision: 1 })
  for (const revision of [1, 2]) await cluster.runChange('host-1', 'pier', revision, revision === 2)
  await cluster.clock.runFor(5000)
  t.match((await lines.next()).value, { type: 'deleted', account: 'pier', revision: 3 })
  t.match((await lines.next()).value, { type: 'heartbeat', confirmed: true })
  controller.abort()
  t.equal((await lines.next()).done, true)
})
