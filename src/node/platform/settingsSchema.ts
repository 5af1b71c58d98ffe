import { z } from 'zod'

const address = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'must be ip:port')
const positive = z.number().positive()

/** The part of the platform's settings file that this program uses. Unknown fields are ignored. */
export const settingsSchema = z.object({
  nodeName: z.string().min(1),
  ipAddress: z.string().regex(/^\d{1,3}(\.\d{1,3}){3}$/, 'must be an IPv4 address'),
  zone: z.string().min(1),
  internalPortRange: z.tuple([z.number().int().positive(), z.number().int().positive()]),
  heartbeatIntervalMs: positive.default(1200),
  listenAddresses: z.object({ front: address, ready: address, directory: address.optional() }),
  limits: z.object({ cpuShare: positive, cores: positive, memoryMb: positive, fileDescriptors: positive }),
  bounds: z.object({
    drainMs: positive,
    gracePeriodS: positive,
    configurationMs: positive,
    stableWindowMs: positive.default(3000),
    ttl_max_s: positive,
    retryBudgetRatio: z.number().nonnegative(),
    budgetWindowS: positive,
    budgetExtraRetries: z.number().nonnegative()
  }),
  platform: z.object({ address })
})
