import type { ContractRevision } from '../../types/contractRevision.js'

interface RecentToken {
  readonly revision: number
  readonly token: string
}

/** Encodes a revision as JSON text, as stored in the key-value service and sent between hosts. */
export function encodeRevision (revision: ContractRevision, recent: readonly RecentToken[] = []): string {
  const stored = { ...revision, deleted: revision.contract === null }
  return JSON.stringify(recent.length > 0 ? { ...stored, recent } : stored)
}
