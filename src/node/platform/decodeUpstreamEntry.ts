import { z } from 'zod'
import { decodeColdMs } from './decodeColdMs.js'
import { isAddress } from '../settings/isAddress.js'
import { platformConstants } from './constants.js'
import type { UpstreamEntry } from '../gateway/model/upstreamEntry.js'

const schema = z.object({
  service: z.string().min(1),
  address: z.string().regex(/^[\d.]+:\d+$/).refine(text => isAddress(text, 1)),
  zone: z.string(),
  version: z.string().optional(),
  slots: z.number().positive(),
  state: z.enum(['ready', 'draining']),
  born: z.number().int().nonnegative().optional(),
  coldRemainingMs: z.unknown().optional()
})

/**
 * Decodes the entry that an upstream wrote under `key` at a revision; undefined when it is invalid, so that the upstream is
 * not used.
 */
export function decodeUpstreamEntry (key: string, value: Buffer, revision?: number): UpstreamEntry | undefined {
  const id = key.slice(platformConstants.upstreamPrefix.length)
  const parsed = schema.safeParse(parseJson(value))
  if (!parsed.success || id === '') return undefined
  const { service, address, zone, version = '', slots, state, born, coldRemainingMs } = parsed.data
  const isDraining = state === 'draining'
  const coldMs = decodeColdMs(coldRemainingMs)
  return { id, service, address, failureDomain: zone, version, slots, isDraining, startedAtMs: born ?? 0, coldMs, revision }
}

function parseJson (value: Buffer): unknown {
  try {
    return JSON.parse(value.toString('utf8'))
  } catch {
    // Other writers may have stored anything; the caller logs the key.
    return undefined
  }
}
