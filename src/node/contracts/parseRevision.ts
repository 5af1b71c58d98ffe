import { z } from 'zod'
import type { Contract } from '../../types/contract.js'
import type { ContractRevision } from '../../types/contractRevision.js'

// Contracts were checked when they were accepted. Unknown fields pass, so that hosts of an older
// version keep up while a new version is rolled out.
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

/** A contract revision from its JSON text; undefined when it is unreadable. */
export function parseRevision (text: string): ContractRevision | undefined {
  try {
    const parsed = storedRevisionSchema.safeParse(JSON.parse(text))
    if (!parsed.success) return undefined
    return { ...parsed.data, contract: parsed.data.contract as Contract | null }
  } catch {
    return undefined
  }
}
