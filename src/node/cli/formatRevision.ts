import type { ContractRevision } from '../../types/contractRevision.js'

/** One line about an accepted revision. */
export function formatRevision (revision: ContractRevision): string {
  const time = typeof revision.atMs === 'number' && revision.atMs > 0 ? new Date(revision.atMs).toISOString() : 'unknown time'
  const change = revision.contract === null ? 'deleted' : 'changed'
  return `${time}  ${revision.account}  revision ${revision.revision}  ${change} by ${revision.operator ?? 'unknown'}`
}
