import { createHash } from 'node:crypto'
import type { RequestKindSpec } from '../../src/types/requestKindSpec.js'
import type { StageSpec } from '../../src/types/stageSpec.js'
import type { ExampleDeployment } from '../examples/exampleDeployment.js'
import { computeTokenCount } from './computeTokenCount.js'
import { benchConstants } from './constants.js'

const token = 'bench-account-example-token'
const domains = ['bench-a', 'bench-b', 'bench-c', 'bench-d']

/**
 * Builds the deployment of the benchmark: `hostCount` entry hosts, one upstream in each pool and links without
 * delay. `seconds`: length of the longest stream.
 */
export function buildBenchExample (hostCount: number, seconds: number): ExampleDeployment {
  const { pacedStepMs, fastStepMs } = benchConstants
  const engine = { slots: 2000, prefillMsPer1kChars: 0 }
  return {
    name: 'bench',
    operator: 'benchmark',
    operatorToken: 'bench-operator-example-token',
    peerSecret: 'bench-peer-example-secret',
    failureDomains: domains,
    links: { betweenDomainsMs: 0, toClientsMs: 0 },
    entryHosts: Array.from({ length: hostCount }, (_, index) => ({ id: `bench-${index + 1}`, failureDomain: domains[index % domains.length] as string })),
    keyValueService: {},
    hostList: {},
    weightStore: {},
    upstreams: [
      { pool: 'paced', type: 'model-engine', count: 1, options: { ...engine, stepMs: pacedStepMs, tickMs: 1 } },
      { pool: 'fast', type: 'model-engine', count: 1, options: { ...engine, stepMs: fastStepMs, tickMs: benchConstants.fastTickMs } },
      { pool: 'instant', type: 'model-engine', count: 1, options: { ...engine, stepMs: 1, tickMs: 1 } },
      { pool: 'pool', type: 'stage-pool', count: 1, options: { slots: 1000, serviceMs: 0 } },
      { pool: 'service', type: 'plain-service', count: 1, options: { slots: 1000, serviceMs: 0 } }
    ],
    accounts: [{ account: 'bench', token }],
    contracts: [{
      account: 'bench',
      tokenDigests: [createHash('sha256').update(token).digest('hex')],
      requestsPerSecond: 100_000,
      tokensPerSecond: 10_000_000,
      kinds: {
        paced: buildKind([buildGenerate('paced', computeTokenCount(seconds, pacedStepMs))]),
        fast: buildKind([buildGenerate('fast', computeTokenCount(seconds, fastStepMs))]),
        instant: buildKind([buildGenerate('instant', 1)]),
        call: buildKind([{ name: 'call', operation: 'call', pool: 'service', after: [], serviceOperation: 'read' }]),
        chain: buildKind([
          { name: 'embed', operation: 'encode', pool: 'pool', after: [] },
          { name: 'find', operation: 'retrieve', pool: 'pool', after: ['embed'] },
          { name: 'rank', operation: 'rerank', pool: 'pool', after: ['find'] }
        ])
      }
    }],
    workload: [],
    demandPeaks: []
  }
}

function buildGenerate (pool: string, maxTokens: number): StageSpec {
  return { name: 'answer', operation: 'generate', pool, after: [], model: 'bench', maxTokens }
}

function buildKind (stages: readonly StageSpec[]): RequestKindSpec {
  const { deadlineMs } = benchConstants
  return { stages, deadlineMs, priority: 5, idempotent: true, objective: { attainment: 0.9, latencyMs: deadlineMs } }
}
