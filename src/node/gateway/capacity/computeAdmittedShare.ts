import { capacityConstants } from './constants.js'
import type { AccountWork } from './accountWork.js'

/**
 * Computes which part of the new or returning work of an account is admitted when its whole demand is met up to a
 * level. Returning requests get up to half of it ahead of new ones, and never a smaller part of theirs. A demand counts
 * as one mean request (`requestWork`) at least: the time since the last request says little of accounts that send
 * rarely.
 */
export function computeAdmittedShare (
  { newWork, returningWork }: AccountWork,
  options: { readonly level: number, readonly requestWork: number, readonly isReturning: boolean }
): number {
  const { level, requestWork, isReturning } = options
  const work = Math.max(newWork + returningWork, requestWork)
  if (work <= level) return 1
  const share = level / work
  const firstWork = level * capacityConstants.returningShare
  // One that comes again at the time it was told finds room, which was promised at this rate.
  if (isReturning) return Math.min(Math.max(share, firstWork / returningWork), 1)
  const returning = Math.max(returningWork * share, Math.min(returningWork, firstWork))
  return Math.min((level - returning) / Math.max(newWork, requestWork), 1)
}
