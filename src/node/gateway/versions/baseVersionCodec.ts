import { z } from 'zod'
import { createJsonCodec } from '../../../shared/createJsonCodec.js'

interface BaseVersion {
  readonly version: string
}

/** Format of the base version of a service in the store. */
export const baseVersionCodec = createJsonCodec<BaseVersion>(z.object({ version: z.string() }))
