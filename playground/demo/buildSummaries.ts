import { build } from 'hdr-histogram-js'
import type { Contract } from '../../src/types/contract.js'
import type { RequestRecord } from '../caller/requestRecord.js'
import type { KindSummary } from './kindSummary.js'

/** Builds one summary for each request kind, in the order of the contracts. */
export function buildSummaries (contracts: readonly Contract[], records: readonly RequestRecord[]): readonly KindSummary[] {
  const kinds = new Set(contracts.flatMap(contract => Object.keys(contract.kinds)))
  return [...kinds].map(kind => buildSummary(kind, contracts, records.filter(record => record.kind === kind)))
}

function buildSummary (kind: string, contracts: readonly Contract[], records: readonly RequestRecord[]): KindSummary {
  const count = (outcome: RequestRecord['outcome']): number => records.filter(record => record.outcome === outcome).length
  const specs = new Map(contracts.map(contract => [contract.account, contract.kinds[kind]]))
  const latencies = build({ lowestDiscernibleValue: 1, highestTrackableValue: 120_000_000, numberOfSignificantValueDigits: 3 })
  const whole = records.filter(record => record.outcome === 'whole')
  for (const record of whole) latencies.recordValue(Math.max(1, Math.round(record.latencyMs * 1000)))
  const attainedCount = whole.filter(record => record.latencyMs <= (specs.get(record.account)?.objective.latencyMs ?? 0)).length
  return {
    kind,
    sent: records.length,
    whole: whole.length,
    wrong: count('wrong'),
    refused: count('refused'),
    abandoned: count('abandoned'),
    failed: count('failed'),
    p50Ms: latencies.getValueAtPercentile(50) / 1000,
    p99Ms: latencies.getValueAtPercentile(99) / 1000,
    attainment: records.length === 0 ? 1 : attainedCount / records.length,
    promisedAttainment: Math.max(...[...specs.values()].map(spec => spec?.objective.attainment ?? 0))
  }
}
