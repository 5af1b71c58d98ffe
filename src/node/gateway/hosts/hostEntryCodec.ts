import { z } from 'zod'
import type { HostEntry } from '../model/hostEntry.js'

const schema = z.object({
  id: z.string().min(1),
  failureDomain: z.string(),
  clientAddress: z.string().min(1),
  peerAddress: z.string().min(1),
  cores: z.number().positive(),
  isReady: z.boolean(),
  startedAtMs: z.number()
})

/** Format of the host entries in the store. */
export const hostEntryCodec = {
  encode: (entry: HostEntry): Buffer => Buffer.from(JSON.stringify(entry)),
  /** Undefined when the value is not a valid entry. */
  decode: (value: Buffer): HostEntry | undefined => {
    const parsed = schema.safeParse(parseJson(value))
    return parsed.success ? parsed.data : undefined
  }
} as const

function parseJson (value: Buffer): unknown {
  try {
    return JSON.parse(value.toString('utf8'))
  } catch {
    // A value that is not JSON is not a valid entry.
    return undefined
  }
}
