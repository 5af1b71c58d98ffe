import { setTimeout as delay } from 'node:timers/promises'
import t from 'tap'
import { LinkedFleet } from '../../../../playground/platform/linkedFleet.js'
import { standInAnswers } from '../../../../playground/platform/standInAnswers.js'
import type { GatewayTestHarness } from '../../../../playground/platform/gatewayTestHarness.js'

const hostCount = 40
/** A failure domain: a sixth of the hosts. */
const cutCount = 7
const stableWindowMs = 3000
const countedMs = 3000
const intervalMs = 200
const minServedShare = 0.9

t.test('guards against 7 of 40 hosts that serve worse than the others while cut off', { timeout: 100_000 }, async t => {
  const fleet = await new LinkedFleet({ hostCount, linkedCount: cutCount }).start()
  t.teardown(async () => { await fleet.stop() })
  for (let i = 1; i <= 6; i++) await fleet.startUpstream(`i-shop-${i}`, 'shop', standInAnswers.sendPlain)
  for (let i = 1; i <= 6; i++) await fleet.startUpstream(`i-llm-${i}`, 'llm', standInAnswers.sendEvents)
  await fleet.applyConfiguration({
    services: [
      { name: 'shop', connectionLimit: 800 },
      { name: 'llm', connectionLimit: 800, engine: { slots: 64, kvCacheTokens: 100_000 } }
    ],
    routes: [
      { name: 'order', pathPrefix: '/order/', kind: 'unsafe', service: 'shop' },
      { name: 'ask', pathPrefix: '/ask/', kind: 'streaming', service: 'llm', resumeStreams: true }
    ]
  })
  const isServed = async (host: GatewayTestHarness, path: string): Promise<boolean> => {
    const headers = { 'x-token-counts': '100,10', 'x-prompt-prefix': 'shared:50,own:50' }
    const method = path === '/order/x' ? 'POST' : 'GET'
    const answer = await host.send(path, { method, headers }).catch(() => undefined)
    return answer?.status === 200 && answer.isComplete
  }
  const computeServedShare = async (hosts: readonly GatewayTestHarness[], durationMs: number): Promise<number> => {
    const results: Array<Promise<boolean>> = []
    for (const endMs = Date.now() + durationMs; Date.now() < endMs; await delay(intervalMs)) {
      for (const host of hosts) results.push(isServed(host, '/order/x'), isServed(host, '/ask/x'))
    }
    const all = await Promise.all(results)
    return all.filter(isServed => isServed).length / all.length
  }
  const cutHosts = fleet.linkedHosts
  const others = fleet.hosts.filter(host => !cutHosts.includes(host))
  t.ok(await computeServedShare(fleet.hosts, 500) >= minServedShare, 'served before')
  fleet.closeLinks(cutHosts, 'silent')
  await Promise.all([computeServedShare(cutHosts, stableWindowMs), computeServedShare(others, stableWindowMs)])
  const [cutShare, otherShare] = await Promise.all([
    computeServedShare(cutHosts, countedMs),
    computeServedShare(others, countedMs)
  ])
  t.ok(cutShare >= minServedShare, `served at the hosts that are cut off: ${cutShare}`)
  t.ok(otherShare >= minServedShare, `served at the others: ${otherShare}`)
  const lines = cutHosts.flatMap(host => host.logLines)
  const helpers = new Set(lines.flatMap(line => /"relayedBy":"([^"]+)"/.exec(line)?.[1] ?? []))
  const cutHelpers = [...helpers].filter(id => cutHosts.some(host => host.settings.hostId === id))
  t.same(cutHelpers, [], 'no host that is cut off relays')
  t.comment(`${helpers.size} hosts relayed; served ${cutShare} and ${otherShare}`)
})
