import { z } from 'zod'
import type { StageResponse } from './stageResponse.js'
import type { UpstreamResponse } from './upstreamResponse.js'
import { UpstreamError } from './upstreamError.js'

const responseSchema = z.object({ call_id: z.string(), output: z.unknown() })

/**
 * Parses the HTTP response of a stage pool member or plain service. Throws `UpstreamError` for a failed or malformed
 * one, always with `sent` true (the last argument), because a call that has a response was sent.
 */
export function parseStageResponse (response: UpstreamResponse): StageResponse {
  // A 503 means not_run only from an upstream that marks itself as leaving.
  if (response.status === 503 && response.leaving) throw new UpstreamError('upstream_leaving', 'the upstream is leaving', 'not_run', true)
  if (response.status !== 200) throw new UpstreamError('upstream_failed', `the upstream answered with status ${response.status}`, 'unknown', true)
  let value: unknown
  try {
    value = JSON.parse(response.body)
  } catch (cause) {
    throw new UpstreamError('upstream_failed', 'the answer of the upstream is not JSON', 'unknown', true, { cause })
  }
  const parsed = responseSchema.safeParse(value)
  if (!parsed.success) throw new UpstreamError('upstream_failed', 'the answer of the upstream lacks call_id or output', 'unknown', true)
  return { callId: parsed.data.call_id, output: parsed.data.output }
}
