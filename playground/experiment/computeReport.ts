import { build as buildHistogram } from 'hdr-histogram-js'
import type { ExperimentReport } from './experimentReport.js'
import type { ExperimentResult } from './experimentResult.js'
import type { KindSummary } from './kindSummary.js'
import type { RequestOutcome } from './requestOutcome.js'

const windowMs = 2000

/** Summarizes an experiment: outcomes in total, by kind of request, and by windows of the sending time. */
export function computeReport (result: ExperimentResult): ExperimentReport {
  const { outcomes, day } = result
  const kinds = new Map<string, RequestOutcome[]>()
  const windows = new Map<number, RequestOutcome[]>()
  for (const outcome of outcomes) {
    addTo(kinds, outcome.request.kind.name, outcome)
    addTo(windows, Math.floor(outcome.request.sentAtMs / windowMs), outcome)
  }
  return {
    world: result.world,
    day: day.name,
    seed: result.seed,
    total: computeSummary('all', outcomes),
    kinds: [...kinds].sort().map(([name, group]) => computeSummary(name, group)),
    windows: [...windows].sort((a, b) => a[0] - b[0]).map(([window, group]) => computeSummary(`${window * windowMs / 1000} s`, group)),
    services: result.services.map(service => ({ ...service, piecesPerCall: service.calls === 0 ? 0 : service.pieces / service.calls })),
    queues: result.samples,
    creditBound: result.creditBound,
    refusals: outcomes.reduce((sum, outcome) => sum + outcome.refusals, 0),
    readTokens: result.readTokens,
    notPlayed: day.notPlayed
  }
}

function addTo<K> (groups: Map<K, RequestOutcome[]>, key: K, outcome: RequestOutcome): void {
  const group = groups.get(key) ?? []
  group.push(outcome)
  groups.set(key, group)
}

function computeSummary (name: string, outcomes: readonly RequestOutcome[]): KindSummary {
  const count = (type: RequestOutcome['type']): number => outcomes.filter(outcome => outcome.type === type).length
  const histogram = buildHistogram()
  let earned = 0
  let asked = 0
  for (const { type, firstEventMs, request: { kind } } of outcomes) {
    asked += kind.worth
    if (type === 'on-time') earned += kind.worth
    if (type === 'late') earned += kind.lateWorth
    if (firstEventMs !== undefined) histogram.recordValue(Math.round(firstEventMs))
  }
  return {
    name,
    asked: outcomes.length,
    onTime: count('on-time'),
    late: count('late'),
    refused: count('refused'),
    failed: count('failed'),
    credit: asked === 0 ? 0 : earned / asked,
    medianFirstEventMs: histogram.getValueAtPercentile(50),
    p95FirstEventMs: histogram.getValueAtPercentile(95)
  }
}
