import { z } from 'zod'
import type { Contract } from '../../types/contract.js'
import { contractConstants } from './constants.js'

const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, 'must be 1 to 64 letters, digits, dots, dashes or underscores')

const stage = z.strictObject({
  name,
  operation: z.enum(['encode', 'retrieve', 'rerank', 'generate', 'call']),
  pool: name,
  after: z.array(z.string()),
  model: z.string().min(1).max(128).optional(),
  maxTokens: z.number().int().min(1).max(contractConstants.maxTokens).optional(),
  serviceOperation: name.optional()
})

const objective = z.strictObject({
  attainment: z.number().gt(0).max(1),
  latencyMs: z.number().min(1).max(contractConstants.maxDeadlineMs)
})

const kind = z.strictObject({
  stages: z.array(stage).min(1).max(contractConstants.maxStages),
  deadlineMs: z.number().int().min(1).max(contractConstants.maxDeadlineMs),
  priority: z.number().int().min(0).max(9),
  idempotent: z.boolean(),
  objective
})

/** Structure and value ranges of a contract; `validateContract` adds the rules that span several fields. */
export const contractSchema: z.ZodType<Contract> = z.strictObject({
  // `contracts/watch` is a resource of the administration API, so no account may be named `watch`.
  account: name.refine(account => account !== 'watch', 'is reserved'),
  tokenDigests: z.array(z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 digest in lower-case hex')).min(1).max(contractConstants.maxTokenDigests),
  requestsPerSecond: z.number().gt(0).max(contractConstants.maxRequestsPerSecond),
  tokensPerSecond: z.number().min(0).max(contractConstants.maxTokensPerSecond),
  kinds: z.record(name, kind)
})
