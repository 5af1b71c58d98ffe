import { z } from 'zod'

const count = (absent: number): z.ZodDefault<z.ZodCoercedNumber> => z.coerce.number().int().positive().default(absent)
const milliseconds = (absent: number): z.ZodDefault<z.ZodCoercedNumber> => z.coerce.number().min(0).default(absent)

/** `--reports-load false` arrives as text from the command line. */
const flag = z.union([z.boolean(), z.enum(['true', 'false']).transform(text => text === 'true')]).default(true)

const base = {
  id: z.string().optional(),
  port: z.coerce.number().int().min(0).max(65535).default(0),
  /** Loopback address to listen on. */
  address: z.string().regex(/^127\./, 'must be a loopback address').default('127.0.0.1'),
  seed: z.coerce.number().default(1),
  /** Delay of every call, for the way between failure domains. */
  linkDelayMs: milliseconds(0),
  /** File to which the starts of executions are appended. */
  logFile: z.string().optional()
}
const work = { ...base, pool: z.string().optional(), slots: count(8), serviceMs: milliseconds(20), reportLagMs: milliseconds(300), reportsLoad: flag }
const models = z.union([z.array(z.string()), z.string().transform(text => text.split(',').filter(Boolean))]).default([])

/** Options of a stand-in: flags of the program in camel case, or an entry of the list of `many`. */
export const standInOptions = z.discriminatedUnion('type', [
  z.strictObject({ type: z.literal('key-value-service'), ...base, writesPerSecond: count(400), readsPerSecond: count(2000) }),
  z.strictObject({ type: z.literal('host-list'), ...base, lagMs: milliseconds(0) }),
  z.strictObject({
    type: z.literal('model-engine'),
    ...base,
    pool: z.string().optional(),
    slots: count(16),
    stepMs: z.coerce.number().positive().default(41),
    tickMs: milliseconds(5),
    prefillMsPer1kChars: milliseconds(20),
    cacheChars: count(200_000),
    cacheEventDelayMs: milliseconds(500),
    reportLagMs: milliseconds(300),
    queueLimit: count(10_000),
    models,
    weightStoreUrl: z.string().optional(),
    loadMs: milliseconds(2000)
  }),
  z.strictObject({ type: z.literal('stage-pool'), ...work }),
  z.strictObject({ type: z.literal('plain-service'), ...work }),
  z.strictObject({ type: z.literal('weight-store'), ...base, fetchesPerSecond: z.coerce.number().positive().default(2), transferMs: milliseconds(500) })
])
