import { z } from 'zod'
import type { UpstreamClient } from './upstreamClient.js'
import { UpstreamError } from './upstreamError.js'
import type { UpstreamProbeResult } from './upstreamProbeResult.js'

const loadSchema = z.object({
  running: z.number(),
  waiting: z.number(),
  slots: z.number(),
  kvUsed: z.number().default(0),
  models: z.array(z.object({ model: z.string(), state: z.string() })).optional(),
  state: z.string().optional(),
  atMs: z.number()
})

/**
 * Reads the load report over a connection of its own, so that the probe also finds out whether new
 * connections work. Rejects with `UpstreamError`.
 */
export async function readUpstreamLoad (client: UpstreamClient, signal: AbortSignal): Promise<UpstreamProbeResult> {
  const answer = await client.send({ method: 'GET', path: '/load', freshConnection: true }, signal)
  if (answer.status >= 500) throw new UpstreamError('upstream_failed', `the load report has status ${answer.status}`, 'not_run', true)
  if (answer.status !== 200) return { leaving: answer.leaving }
  let value: unknown
  try {
    value = JSON.parse(answer.body)
  } catch {
    return { leaving: answer.leaving }
  }
  const parsed = loadSchema.safeParse(value)
  if (!parsed.success) return { leaving: answer.leaving }
  const { state, models, ...load } = parsed.data
  const loaded = models?.filter(record => record.state === 'loaded').map(record => record.model)
  return { leaving: answer.leaving || state === 'leaving', load: loaded === undefined || loaded.length === 0 ? load : { ...load, models: loaded } }
}
