import { z } from 'zod'

const positiveInteger = (defaultValue: number): z.ZodDefault<z.ZodCoercedNumber> => z.coerce.number().int().positive().default(defaultValue)
const milliseconds = (defaultValue: number): z.ZodDefault<z.ZodCoercedNumber> => z.coerce.number().min(0).default(defaultValue)

/** Accepts text as well, because `--reports-load false` arrives as text from the command line. */
const booleanFlag = z.union([z.boolean(), z.enum(['true', 'false']).transform(text => text === 'true')]).default(true)

const commonOptions = {
  id: z.string().optional(),
  port: z.coerce.number().int().min(0).max(65535).default(0),
  /** Loopback address to listen on. */
  address: z.string().regex(/^127\./, 'must be a loopback address').default('127.0.0.1'),
  seed: z.coerce.number().default(1),
  /** Delay of every call, simulates the network between failure domains. */
  linkDelayMs: milliseconds(0),
  /** File to which the starts of executions are appended. */
  logFile: z.string().optional()
}
const callOptions = { ...commonOptions, pool: z.string().optional(), slots: positiveInteger(8), serviceMs: milliseconds(20), reportLagMs: milliseconds(300), reportsLoad: booleanFlag }
const models = z.union([z.array(z.string()), z.string().transform(text => text.split(',').filter(Boolean))]).default([])

/** Options of a stand-in: the command line flags in camel case, or one entry of the list for the command `many`. */
export const standInOptions = z.discriminatedUnion('type', [
  z.strictObject({ type: z.literal('key-value-service'), ...commonOptions, writesPerSecond: positiveInteger(400), readsPerSecond: positiveInteger(2000) }),
  z.strictObject({ type: z.literal('host-list'), ...commonOptions, lagMs: milliseconds(0) }),
  z.strictObject({
    type: z.literal('model-engine'),
    ...commonOptions,
    pool: z.string().optional(),
    slots: positiveInteger(16),
    stepMs: z.coerce.number().positive().default(41),
    tickMs: milliseconds(5),
    prefillMsPer1kChars: milliseconds(20),
    cacheChars: positiveInteger(200_000),
    cacheEventDelayMs: milliseconds(500),
    reportLagMs: milliseconds(300),
    queueLimit: positiveInteger(10_000),
    models,
    weightStoreUrl: z.string().optional(),
    loadMs: milliseconds(2000)
  }),
  z.strictObject({ type: z.literal('stage-pool'), ...callOptions }),
  z.strictObject({ type: z.literal('plain-service'), ...callOptions }),
  z.strictObject({ type: z.literal('weight-store'), ...commonOptions, fetchesPerSecond: z.coerce.number().positive().default(2), transferMs: milliseconds(500) })
])
