import { z } from 'zod'
import { isAddress } from '../settings/isAddress.js'
import { parsePortRange } from './parsePortRange.js'
import { settingDefaults } from './settingDefaults.js'

const address = z.string().refine(text => /^[\d.]+:\d+$/.test(text) && isAddress(text, 1), 'must be ip:port')
const ipAddress = z.string().refine(text => isAddress(`${text}:1`, 1) && !text.includes(':'), 'must be an IPv4 address')
const parseNumber = (value: unknown): unknown => typeof value === 'string' && value.trim() !== '' ? Number(value) : value
const positive = (fallback: number) => z.preprocess(parseNumber, z.number().positive()).default(fallback)
const nonnegative = (fallback: number) => z.preprocess(parseNumber, z.number().nonnegative()).default(fallback)
const optionalPositive = z.preprocess(parseNumber, z.number().positive()).optional()
const optionalNonnegative = z.preprocess(parseNumber, z.number().nonnegative()).optional()
const port = z.number().int().min(1).max(65_535)
const { limits, bounds, zone, heartbeatIntervalMs } = settingDefaults

/** The part of the platform's settings file that this program uses. Unknown fields are ignored. */
export const settingsSchema = z.object({
  nodeName: z.string().min(1).optional(),
  ipAddress: ipAddress.optional(),
  zone: z.string().min(1).default(zone),
  internalPortRange: z.preprocess(parsePortRange, z.tuple([port, port], 'must be the first and the last port')).optional(),
  heartbeatIntervalMs: positive(heartbeatIntervalMs),
  listenAddresses: z.object({ front: address, ready: address.optional(), directory: address.optional() }),
  limits: z.object({
    cpuShare: positive(limits.cpuShare),
    cores: positive(limits.cores),
    memoryMb: positive(limits.memoryMb),
    fileDescriptors: positive(limits.fileDescriptors)
  }).prefault({}),
  bounds: z.object({
    drainMs: positive(bounds.drainMs),
    gracePeriodS: positive(bounds.gracePeriodS),
    configurationMs: positive(bounds.configurationMs),
    evacuationMs: optionalPositive,
    coldOverage: optionalNonnegative,
    coldSlack: optionalNonnegative,
    stableWindowMs: positive(bounds.stableWindowMs),
    ttl_max_s: positive(bounds.ttl_max_s),
    retryBudgetRatio: nonnegative(bounds.retryBudgetRatio),
    budgetWindowS: positive(bounds.budgetWindowS),
    budgetExtraRetries: nonnegative(bounds.budgetExtraRetries)
  }).prefault({}),
  platform: z.object({ address })
})
