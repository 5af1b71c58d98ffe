import { z } from 'zod'
import type { ContractFault } from '../../types/contractFault.js'
import { contractConstants } from './constants.js'
import { contractSchema } from './contractSchema.js'
import { validateStages } from './validateStages.js'

// The draft schemas accept any input, so that rules across fields are checked even if single fields are invalid.
const lenientString = z.string().catch('')
const createLenientList = <T extends z.ZodType>(item: T): z.ZodType<Array<z.output<T>>> => z.array(item).catch([]) as never
const stageDraft = z.looseObject({ name: lenientString, operation: lenientString, after: createLenientList(lenientString) }).catch({ name: '', operation: '', after: [] })
const kindDraft = z.looseObject({
  stages: createLenientList(stageDraft),
  deadlineMs: z.number().catch(Infinity),
  idempotent: z.boolean().catch(true),
  objective: z.looseObject({ latencyMs: z.number().catch(0) }).catch({ latencyMs: 0 })
}).catch({ stages: [], deadlineMs: Infinity, idempotent: true, objective: { latencyMs: 0 } })
const contractDraft = z.looseObject({
  tokenDigests: createLenientList(lenientString),
  tokensPerSecond: z.number().catch(1),
  kinds: z.record(z.string(), kindDraft).catch({})
}).catch({ tokenDigests: [], tokensPerSecond: 1, kinds: {} })

type ContractDraft = z.output<typeof contractDraft>
type KindDraft = z.output<typeof kindDraft>

/** Returns every fault of a contract with its path; empty if the contract is valid. */
export function validateContract (value: unknown): readonly ContractFault[] {
  const parsed = contractSchema.safeParse(value)
  const schemaFaults = (parsed.error?.issues ?? []).map(issue => ({ path: issue.path.join('.'), message: issue.message }))
  const draft = contractDraft.parse(value)
  const faults = [...schemaFaults, ...validateContractRules(value, draft)]
  return faults.concat(Object.entries(draft.kinds).flatMap(([name, kind]) => validateKind(`kinds.${name}`, kind)))
}

function validateContractRules (value: unknown, draft: ContractDraft): readonly ContractFault[] {
  const faults: ContractFault[] = []
  const kinds = Object.values(draft.kinds)
  if (kinds.length > contractConstants.maxKinds) faults.push({ path: 'kinds', message: `has more than ${contractConstants.maxKinds} kinds` })
  draft.tokenDigests.forEach((digest, i) => {
    if (draft.tokenDigests.indexOf(digest) < i) faults.push({ path: `tokenDigests.${i}`, message: 'is listed twice' })
  })
  const isGenerating = kinds.some(kind => kind.stages.some(stage => stage.operation === 'generate'))
  if (isGenerating && draft.tokensPerSecond === 0) faults.push({ path: 'tokensPerSecond', message: 'must be above 0 for kinds that generate' })
  if (JSON.stringify(value ?? null).length > contractConstants.maxContractBytes) faults.push({ path: '', message: `is longer than ${contractConstants.maxContractBytes} bytes` })
  return faults
}

function validateKind (path: string, kind: KindDraft): readonly ContractFault[] {
  const faults: ContractFault[] = []
  if (kind.objective.latencyMs > kind.deadlineMs) faults.push({ path: `${path}.objective.latencyMs`, message: 'is longer than the deadline' })
  // Claims guarantee at-most-once execution for a single call only. The stages of a pipeline may be retried one by one,
  // so it must be idempotent.
  const isSingleCall = kind.stages.length === 1 && kind.stages[0]?.operation === 'call'
  if (!kind.idempotent && !isSingleCall) faults.push({ path: `${path}.idempotent`, message: 'only a kind of one call may be not idempotent' })
  return faults.concat(validateStages(`${path}.stages`, kind.stages))
}
