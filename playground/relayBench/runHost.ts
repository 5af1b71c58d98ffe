import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import type { AddressInfo } from 'node:net'
import { monitorEventLoopDelay } from 'node:perf_hooks'
import { createAnswerMemory } from '../fakes/createAnswerMemory.js'
import { systemClock } from '../../src/shared/systemClock.js'
import { RequestService } from '../../src/node/requests/requestService.js'
import { serverConstants } from '../../src/node/server/constants.js'
import { createCallerServer } from '../../src/node/server/createCallerServer.js'
import { UpstreamSet } from '../../src/node/upstreams/upstreamSet.js'
import { CountingMetrics } from '../fakes/countingMetrics.js'
import { FixedContracts } from '../fakes/fixedContracts.js'
import { FixedMembership } from '../fakes/fixedMembership.js'
import { LoopbackPeers } from '../fakes/loopbackPeers.js'
import { MemoryClaims } from '../fakes/memoryClaims.js'
import { StubAdmission } from '../fakes/stubAdmission.js'
import { silentLogger } from '../fakes/silentLogger.js'
import { RotatingStageRouter } from './rotatingStageRouter.js'

interface RelayBenchOptions {
  readonly streams: number
  readonly tokensPerStream: number
  readonly intervalMs: number
  readonly startChild: (...args: ReadonlyArray<string | number>) => ChildProcess
}

/** Runs the relay in this process, between engine and caller processes, and returns a line with the measurements. */
export async function runHost (options: RelayBenchOptions): Promise<string> {
  const { streams, tokensPerStream, intervalMs, startChild } = options
  // Several engine and caller processes, so that the host is the part that saturates.
  const engines = [1, 2, 3, 4].map(() => startChild('engine', 2, tokensPerStream, intervalMs))
  const started = await Promise.all(engines.map(async engine => await once(engine, 'message') as [{ addresses: string[] }]))
  const addresses = started.flatMap(([message]) => message.addresses)
  const router = new RotatingStageRouter()
  const metrics = new CountingMetrics()
  const common = { clock: systemClock, logger: silentLogger, metrics, router }
  const upstreams = new UpstreamSet({ ...common, answerMemory: createAnswerMemory(), random: () => 0, isEnginePool: () => false })
  upstreams.applyUpstreams(addresses.map((address, index) => ({ id: `runner-${index}`, address, pool: 'runners', failureDomain: 'a', state: 'live' })))
  const self = { id: 'host-1', failureDomain: 'a', address: 'host-1', peerAddress: 'host-1', incarnation: 1, state: 'live' as const }
  const membership = new FixedMembership('host-1', new Map([['host-1', self]]))
  const requests = new RequestService({ ...common, admission: new StubAdmission(), membership, transport: new LoopbackPeers().createTransport('host-1'), claims: new MemoryClaims().createService('host-1'), upstreams })
  const stages = [{ name: 'generate', operation: 'generate' as const, pool: 'runners', after: [], model: 'bell', maxTokens: tokensPerStream }]
  const kinds = { short: { stages, deadlineMs: 120_000, priority: 5, idempotent: true, objective: { attainment: 0.9, latencyMs: 120_000 } } }
  const server = createCallerServer({
    contracts: new FixedContracts([{ account: 'pier', kinds }]),
    membership,
    metrics,
    logger: { ...silentLogger, recordWarning: (message, fields) => console.error(message, fields) },
    requests,
    admin: { handle: async () => ({ status: 404, body: { type: 'json', value: {} } }) },
    operatorToken: '',
    listUnreadyReasons: () => [],
    chooseRouteHosts: hosts => hosts
  })
  server.listen({ port: 0, host: '127.0.0.1', backlog: serverConstants.listenBacklog })
  await once(server, 'listening')
  const delay = monitorEventLoopDelay({ resolution: 1 })
  delay.enable()
  const startCpu = process.cpuUsage()
  const startMs = performance.now()
  const callers = [1, 2, 3, 4].map(() => startChild('callers', (server.address() as AddressInfo).port, streams / 4, tokensPerStream))
  const finished = await Promise.all(callers.map(async caller => await once(caller, 'message') as [{ whole: number }]))
  const completeCount = finished.reduce((sum, [message]) => sum + message.whole, 0)
  const elapsedMs = performance.now() - startMs
  const cpu = process.cpuUsage(startCpu)
  for (const child of [...engines, ...callers]) child.kill()
  const tokens = streams * tokensPerStream
  const cpuUs = cpu.user + cpu.system
  return `relay: ${streams} streams x ${tokensPerStream} tokens, ${completeCount} complete; ${Math.round(tokens / elapsedMs * 1000)} tokens/s ` +
    `over ${Math.round(elapsedMs)} ms; host CPU ${(cpuUs / tokens).toFixed(1)} us/token, ${Math.round(cpuUs / elapsedMs / 10)}% of a core; ` +
    `event loop delay p99 ${(delay.percentile(99) / 1e6).toFixed(1)} ms`
}
