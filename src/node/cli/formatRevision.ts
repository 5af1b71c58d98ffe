import type { ContractRevision } from '../../types/contractRevision.js'

/** Formats an accepted revision as one line. */
export function formatRevision (revision: ContractRevision): string {
  const time = typeof revision.atMs === 'number' && revision.atMs > 0 ? new Date(revision.atMs).toISOString() : 'unknown time'
  const change = revision.contract === null ? 'deleted' : 'changed'
  return `${time}  ${revision.account}  revision ${revision.revision}  ${change} by ${revision.operator ?? 'unknown'}`
}
