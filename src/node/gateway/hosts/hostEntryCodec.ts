import { z } from 'zod'
import { createJsonCodec } from '../../../shared/createJsonCodec.js'
import { isAddress } from '../../settings/isAddress.js'
import type { HostEntry } from '../model/hostEntry.js'

const addressSchema = z.string().refine(text => isAddress(text, 1))

/** Format of the host entries in the store. */
export const hostEntryCodec = createJsonCodec<HostEntry>(z.object({
  id: z.string().min(1),
  failureDomain: z.string(),
  clientAddress: addressSchema,
  peerAddress: addressSchema,
  cores: z.number().positive(),
  isReady: z.boolean(),
  startedAtMs: z.number()
}))
