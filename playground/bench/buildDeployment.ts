import type { StageSpec } from '../../src/types/stageSpec.js'
import type { BenchKind } from './benchKind.js'
import type { BenchSettings } from './benchSettings.js'
import type { Deployment } from './deployment.js'
import type { PoolSpec } from './poolSpec.js'

/** Share of demand of each account. */
const accounts = [0.4, 0.3, 0.15, 0.1, 0.05]

function buildCall (name: string, rate: number, pool: string, ms: number, idempotent: boolean, priority: number): BenchKind {
  const stages: readonly StageSpec[] = [{ name: 'call', operation: 'call', pool, after: [], serviceOperation: name }]
  return { name, rate, tokens: 0, stages, stageMs: { call: ms }, short: true, idempotent, priority, deadlineMs: idempotent ? 400 : 1000, objective: { attainment: 0.99, latencyMs: idempotent ? 200 : 500 } }
}

function buildGeneration (name: string, rate: number, tokens: number, priority: number, latencyMs: number, before: readonly StageSpec[], stageMs: Readonly<Record<string, number>>): BenchKind {
  const last = before.map(stage => stage.name)
  const generate: StageSpec = { name: 'generate', operation: 'generate', pool: 'runners', after: last, model: 'base', maxTokens: tokens * 8 }
  return { name, rate, tokens, stages: [...before, generate], stageMs, short: tokens < 100, idempotent: true, priority, deadlineMs: latencyMs * 1.5, objective: { attainment: 0.95, latencyMs } }
}

function buildRunners (count: number): PoolSpec {
  return { name: 'runners', count, slots: 16, reportsLoad: true, honoursPriority: true, batchSlope: 0.6 }
}

function buildService (name: string, count: number, slots: number, reportsLoad: boolean): PoolSpec {
  return { name, count, slots, reportsLoad, honoursPriority: false, batchSlope: 0 }
}

function buildStage (name: string, operation: 'encode' | 'retrieve' | 'rerank', pool: string, after: readonly string[]): StageSpec {
  return { name, operation, pool, after }
}

function buildFerry (settings: BenchSettings): Deployment {
  const log = buildStage('log', 'retrieve', 'crossing-log', [])
  const tide = buildStage('tide', 'retrieve', 'tide-board', [])
  const rank = buildStage('rank', 'rerank', 'crew-roster', ['log', 'tide'])
  const encode = buildStage('encode', 'encode', 'tide-board', [])
  const retrieve = buildStage('retrieve', 'retrieve', 'crossing-log', ['encode'])
  return {
    name: 'ferry',
    hosts: settings.hosts || 4,
    failureDomains: 4,
    linkMs: 1,
    callerMs: 3,
    accounts,
    pools: [buildRunners(settings.runners || 8), buildService('bell-control', 4, 6, false), buildService('crossing-log', 4, 6, true), buildService('crew-roster', 4, 6, true), buildService('tide-board', 4, 6, true)],
    kinds: [
      buildGeneration('log-digest', 3, 400, 2, 15_000, [log, tide, rank], { log: 40, tide: 30, rank: 40 }),
      buildGeneration('signal-query', 40, 40, 7, 2000, [encode, retrieve], { encode: 15, retrieve: 25 }),
      buildCall('bell-issue', 20, 'bell-control', 25, false, 9),
      buildCall('status-read', 80, 'bell-control', 25, true, 8)
    ],
    callKind: 'status-read',
    shortKind: 'signal-query',
    longKind: 'log-digest'
  }
}

function buildKouign (settings: BenchSettings): Deployment {
  const orders = buildStage('orders', 'retrieve', 'pre-order', [])
  const stock = buildStage('ledger', 'retrieve', 'accounting-export', [])
  const rank = buildStage('rank', 'rerank', 'baker-dashboard', ['orders', 'ledger'])
  const encode = buildStage('encode', 'encode', 'baker-dashboard', [])
  const recipe = buildStage('recipe', 'retrieve', 'baker-dashboard', ['encode'])
  return {
    name: 'kouign',
    hosts: settings.hosts || 5,
    failureDomains: 3,
    linkMs: 1.5,
    callerMs: 3,
    accounts,
    pools: [buildRunners(settings.runners || 13), buildService('pre-order', 3, 6, false), buildService('baker-dashboard', 4, 6, true), buildService('reminder-messages', 4, 6, true), buildService('accounting-export', 4, 6, true)],
    kinds: [
      buildGeneration('bake-plan', 5, 500, 2, 18_000, [orders, stock, rank], { orders: 100, ledger: 40, rank: 30 }),
      buildGeneration('filling-question', 35, 30, 6, 1800, [encode, recipe], { encode: 12, recipe: 20 }),
      buildGeneration('allergy-tag', 35, 8, 7, 1000, [encode], { encode: 12 }),
      buildCall('order-confirmation', 15, 'pre-order', 25, false, 9),
      buildCall('deposit', 8, 'pre-order', 25, false, 9),
      buildCall('stock-check', 75, 'pre-order', 25, true, 8)
    ],
    callKind: 'stock-check',
    shortKind: 'filling-question',
    longKind: 'bake-plan'
  }
}

/** Builds one of the two example deployments. Demand and service times are assumptions, because the design page states none. */
export function buildDeployment (name: 'ferry' | 'kouign', settings: BenchSettings): Deployment {
  return name === 'ferry' ? buildFerry(settings) : buildKouign(settings)
}
