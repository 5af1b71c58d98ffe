import { z } from 'zod'
import { createJsonCodec } from '../../../shared/createJsonCodec.js'
import type { HostEntry } from '../model/hostEntry.js'

/** Format of the host entries in the store. */
export const hostEntryCodec = createJsonCodec<HostEntry>(z.object({
  id: z.string().min(1),
  failureDomain: z.string(),
  clientAddress: z.string().min(1),
  peerAddress: z.string().min(1),
  cores: z.number().positive(),
  isReady: z.boolean(),
  startedAtMs: z.number()
}))
