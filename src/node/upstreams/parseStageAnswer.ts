import { z } from 'zod'
import type { StageAnswer } from './stageAnswer.js'
import type { UpstreamAnswer } from './upstreamAnswer.js'
import { UpstreamError } from './upstreamError.js'

const answerSchema = z.object({ call_id: z.string(), output: z.unknown() })

/** Checks the answer of a stage pool member or a plain service. Throws `UpstreamError`. */
export function parseStageAnswer (answer: UpstreamAnswer): StageAnswer {
  // Only an upstream that marks itself as leaving states with a 503 that it ran nothing.
  if (answer.status === 503 && answer.leaving) throw new UpstreamError('upstream_leaving', 'the upstream is leaving', 'not_run', true)
  if (answer.status !== 200) throw new UpstreamError('upstream_failed', `the upstream answered with status ${answer.status}`, 'unknown', true)
  let value: unknown
  try {
    value = JSON.parse(answer.body)
  } catch (cause) {
    throw new UpstreamError('upstream_failed', 'the answer of the upstream is not JSON', 'unknown', true, { cause })
  }
  const parsed = answerSchema.safeParse(value)
  if (!parsed.success) throw new UpstreamError('upstream_failed', 'the answer of the upstream lacks call_id or output', 'unknown', true)
  return { callId: parsed.data.call_id, output: parsed.data.output }
}
