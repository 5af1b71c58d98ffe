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
 * Reads the load report over a new connection, so that the probe also checks that the upstream accepts connections.
 * Rejects with `UpstreamError`.
 */
export async function readUpstreamLoad (client: UpstreamClient, signal: AbortSignal): Promise<UpstreamProbeResult> {
  const response = await client.send({ method: 'GET', path: '/load', freshConnection: true }, signal)
  if (response.status >= 500) throw new UpstreamError('upstream_failed', `reading the load report failed with status ${response.status}`, 'not_run', true)
  if (response.status !== 200) return { leaving: response.leaving }
  let value: unknown
  try {
    value = JSON.parse(response.body)
  } catch {
    return { leaving: response.leaving }
  }
  const parsed = loadSchema.safeParse(value)
  if (!parsed.success) return { leaving: response.leaving }
  const { state, models, ...load } = parsed.data
  const loadedModels = models?.filter(record => record.state === 'loaded').map(record => record.model)
  return { leaving: response.leaving || state === 'leaving', load: loadedModels === undefined || loadedModels.length === 0 ? load : { ...load, models: loadedModels } }
}
