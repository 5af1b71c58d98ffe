import { z } from 'zod'
import type { Contract } from '../../types/contract.js'
import type { ContractRevision } from '../../types/contractRevision.js'

// Contracts are fully validated when they are accepted. Unknown fields are allowed here, so that hosts of an older
// version can read contracts of a newer one during a rollout.
const storedContractSchema = z.looseObject({
  account: z.string(),
  tokenDigests: z.array(z.string()),
  requestsPerSecond: z.number(),
  tokensPerSecond: z.number(),
  kinds: z.record(z.string(), z.looseObject({ stages: z.array(z.looseObject({})) }))
})

const storedRevisionSchema = z.object({
  account: z.string().min(1),
  revision: z.number().int().min(1),
  contract: storedContractSchema.nullable(),
  operator: z.string(),
  atMs: z.number(),
  token: z.string()
})

/** Parses a contract revision from JSON text; returns undefined if it is unreadable. */
export function parseRevision (text: string): ContractRevision | undefined {
  try {
    const parsed = storedRevisionSchema.safeParse(JSON.parse(text))
    if (!parsed.success) return undefined
    return { ...parsed.data, contract: parsed.data.contract as Contract | null }
  } catch {
    return undefined
  }
}
