import type { z } from 'zod'
import type { siteSchema } from './siteSchema.js'

/** A decoded site file. */
export type Site = z.infer<typeof siteSchema>
