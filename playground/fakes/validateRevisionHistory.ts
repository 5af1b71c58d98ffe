interface OperatorCall {
  readonly account: string
  readonly expectedRevision: number
  readonly startMs: number
  readonly endMs: number
  /** Accepted revision; undefined if the call was not accepted or its outcome is uncertain. */
  readonly accepted?: number
  /** Current revision that a conflict returned. */
  readonly conflict?: number
  readonly isUncertain?: boolean
}

interface HostObservation {
  readonly host: string
  readonly account: string
  readonly revision: number
  /** Unique per write attempt: two tokens for one revision mean two contents. */
  readonly token: string
  readonly atMs: number
}

/**
 * Returns the violations in a history of contract changes. Revisions must be linearizable for operators: each revision is
 * accepted once, and real-time order is kept. On each host they must only increase, and all hosts must see the same
 * content for a revision.
 */
export function validateRevisionHistory (calls: readonly OperatorCall[], observations: readonly HostObservation[]): readonly string[] {
  return [...validateCalls(calls), ...validateObservations(calls, observations)]
}

function validateCalls (calls: readonly OperatorCall[]): string[] {
  const violations: string[] = []
  for (const call of calls) {
    const outcome = call.accepted ?? call.conflict
    if (outcome === undefined) continue
    if (call.accepted !== undefined && call.accepted !== call.expectedRevision + 1) violations.push(`${call.account}: ${call.accepted} accepted for the expected revision ${call.expectedRevision}`)
    if (call.conflict === call.expectedRevision) violations.push(`${call.account}: conflict with the expected revision ${call.conflict}`)
    for (const other of calls) {
      if (other === call || other.account !== call.account || other.accepted === undefined) continue
      if (other.accepted === call.accepted) violations.push(`${call.account}: ${call.accepted} accepted twice`)
      const isEarlier = other.endMs < call.startMs
      if (isEarlier && other.accepted > outcome) violations.push(`${call.account}: ${outcome} returned after ${other.accepted} was accepted`)
      const isLater = call.endMs < other.startMs
      if (isLater && outcome >= other.accepted) violations.push(`${call.account}: ${outcome} returned before ${other.accepted} was accepted`)
    }
  }
  return [...new Set(violations)]
}

function validateObservations (calls: readonly OperatorCall[], observations: readonly HostObservation[]): string[] {
  const violations: string[] = []
  const lastRevisions = new Map<string, number>()
  const tokens = new Map<string, string>()
  for (const observation of observations) {
    const hostAndAccount = `${observation.host} ${observation.account}`
    if ((lastRevisions.get(hostAndAccount) ?? 0) >= observation.revision) violations.push(`${hostAndAccount}: ${observation.revision} applied after ${lastRevisions.get(hostAndAccount)}`)
    lastRevisions.set(hostAndAccount, observation.revision)
    const accountAndRevision = `${observation.account} ${observation.revision}`
    if ((tokens.get(accountAndRevision) ?? observation.token) !== observation.token) violations.push(`${accountAndRevision}: hosts applied different contents`)
    tokens.set(accountAndRevision, observation.token)
    const isKnown = calls.some(call => call.account === observation.account && call.startMs <= observation.atMs &&
      (call.accepted === observation.revision || (call.isUncertain === true && call.expectedRevision + 1 === observation.revision)))
    if (!isKnown) violations.push(`${hostAndAccount}: ${observation.revision} was applied, but never accepted`)
  }
  return violations
}
