import type { SoakRecords } from './soakRecords.js'

/** Refusals with these statuses are retried by clients. */
const retriedStatuses: ReadonlySet<number> = new Set([408, 421, 429])
const maxDenied = 5
const maxDeniedShare = 1 / 500

/** Checks that hosts do not refuse requests for good that every configuration allows. */
export function checkRefusals ({ requests }: SoakRecords): readonly string[] {
  const denied = requests.filter(({ isAllowed, status = 0, signature }) => {
    return isAllowed && signature === undefined && status >= 300 && status < 500 && !retriedStatuses.has(status)
  })
  if (denied.length <= maxDenied + requests.length * maxDeniedShare) return []
  const examples = denied.slice(0, 5).map(({ id, status }) => `${id} ${status}`).join(', ')
  const count = `${denied.length} of ${requests.length} requests`
  return [`DENIED: ${count} were refused for good though every configuration allows them: ${examples}`]
}
