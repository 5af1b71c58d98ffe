import { z } from 'zod'
import { createJsonCodec } from '../../../shared/createJsonCodec.js'
import type { CrashReport } from '../model/crashReport.js'

/** Format of the crash reports in the store. */
export const crashReportCodec = createJsonCodec<CrashReport>(z.object({
  crashes: z.array(z.object({
    instance: z.string().min(1),
    partIds: z.array(z.string().min(1)),
    requestHash: z.string().min(1).optional(),
    partRounds: z.array(z.number().int().min(0)).optional(),
    requestRounds: z.number().int().min(0).optional()
  })),
  soundPartIds: z.array(z.string().min(1)),
  // Hosts of earlier versions report none.
  soundRequestHashes: z.array(z.string().min(1)).default([])
}))
