import { z } from 'zod'

const count = z.number().nonnegative()

/** Schema of the operator's configuration in the store. Unknown fields are ignored. */
export const configurationSchema = z.object({
  version: z.number(),
  routes: z.array(z.object({
    name: z.string(),
    host: z.string(),
    pathPrefix: z.string(),
    kind: z.string(),
    timeoutMs: z.number().positive(),
    targetLatencyMs: count.optional(),
    targetGapMs: count.optional(),
    priority: count.optional(),
    service: z.string().optional(),
    trafficSplit: z.array(z.object({ service: z.string(), weight: count })).optional(),
    maxAttempts: z.number().int().positive().optional(),
    allowAnonymous: z.boolean().optional(),
    resumeStreams: z.boolean().optional(),
    stages: z.array(z.object({
      service: z.string(),
      after: z.array(z.number().int().nonnegative()).nullish(),
      bytes: count.optional()
    })).nullish()
  })),
  services: z.array(z.object({
    name: z.string(),
    healthCheckPath: z.string().optional(),
    connectionLimit: z.number().positive().optional(),
    // Checked when they are decoded: an invalid one must not make the whole configuration invalid.
    coldStartS: z.unknown().optional(),
    coldPerS: z.unknown().optional(),
    engine: z.object({ slots: z.number().positive(), kvCacheTokens: z.number().positive() }).nullish(),
    pieces: z.object({
      slots: z.number().int().positive(),
      batch: z.number().int().positive(),
      callMs: count,
      itemMs: count,
      headroomMb: count,
      handleS: count
    }).nullish()
  })),
  limits: z.object({
    maxHeaderBytes: count,
    maxBodyBytes: count,
    headerTimeoutMs: count,
    idleTimeoutMs: count,
    // Checked when it is decoded, as those of the services.
    unreadTimeoutMs: z.unknown().optional()
  }),
  tenants: z.array(z.object({ name: z.string(), apiKeys: z.array(z.string()).nullish(), priority: count.optional() })).nullish()
})
