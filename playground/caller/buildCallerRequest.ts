import type { RequestKindSpec } from '../../src/types/requestKindSpec.js'
import type { Random } from '../../src/types/random.js'
import type { WorkloadEntry } from '../examples/workloadEntry.js'
import type { CallerRequest } from './callerRequest.js'

/** Builds a request for a workload entry with a unique marker; `index` must be unique among the caller's requests. */
export function buildCallerRequest (entry: WorkloadEntry, kind: RequestKindSpec, index: number, random: Random): CallerRequest {
  const marker = `${entry.account}-${entry.kind}-${index}-${Math.floor(random() * 1e9).toString(36)}`
  const generates = kind.stages.some(stage => stage.operation === 'generate')
  const [minTokens = 1, maxTokens = 1] = entry.tokens ?? []
  const tokenCount = generates ? minTokens + Math.floor(random() * (maxTokens - minTokens + 1)) : undefined
  const context = buildContext(entry)
  const text = generates ? `marker:${marker} length:${tokenCount}` : `marker:${marker}`
  return {
    kind: entry.kind,
    input: context === '' ? { text } : { context, text },
    marker,
    tokenCount,
    stream: generates,
    deadlineMs: kind.deadlineMs,
    abandonAfterMs: entry.abandonAfterMs
  }
}

// All requests of an account and kind have the same context, like a system prompt.
function buildContext (entry: WorkloadEntry): string {
  const length = entry.contextChars ?? 0
  return `context of ${entry.account} for ${entry.kind}. `.repeat(Math.ceil(length / 30)).slice(0, length)
}
