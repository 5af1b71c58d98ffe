interface OperatorCall {
  readonly account: string
  readonly expectedRevision: number
  readonly startMs: number
  readonly endMs: number
  /** Accepted revision, the revision that held on a conflict, or neither when refused or uncertain. */
  readonly accepted?: number
  readonly conflict?: number
  readonly isUncertain?: boolean
}

interface HostObservation {
  readonly host: string
  readonly account: string
  readonly revision: number
  readonly token: string
  readonly atMs: number
}

/**
 * Faults of a history of contract changes: revisions must be linearizable to operators (each revision is
 * accepted once and real-time order is kept) and must only rise on each host, with one content each.
 */
export function validateRevisionHistory (calls: readonly OperatorCall[], observations: readonly HostObservation[]): readonly string[] {
  return [...validateCalls(calls), ...validateObservations(calls, observations)]
}

function validateCalls (calls: readonly OperatorCall[]): string[] {
  const faults: string[] = []
  for (const call of calls) {
    const outcome = call.accepted ?? call.conflict
    if (outcome === undefined) continue
    if (call.accepted !== undefined && call.accepted !== call.expectedRevision + 1) faults.push(`${call.account}: ${call.accepted} accepted on ${call.expectedRevision}`)
    if (call.conflict === call.expectedRevision) faults.push(`${call.account}: conflict with the expected revision ${call.conflict}`)
    for (const other of calls) {
      if (other === call || other.account !== call.account || other.accepted === undefined) continue
      if (other.accepted === call.accepted) faults.push(`${call.account}: ${call.accepted} accepted twice`)
      const isEarlier = other.endMs < call.startMs
      if (isEarlier && other.accepted > outcome) faults.push(`${call.account}: ${outcome} returned after ${other.accepted} was accepted`)
      const isLater = call.endMs < other.startMs
      if (isLater && outcome >= other.accepted) faults.push(`${call.account}: ${outcome} returned before ${other.accepted} was accepted`)
    }
  }
  return [...new Set(faults)]
}

function validateObservations (calls: readonly OperatorCall[], observations: readonly HostObservation[]): string[] {
  const faults: string[] = []
  const last = new Map<string, number>()
  const tokens = new Map<string, string>()
  for (const seen of observations) {
    const place = `${seen.host} ${seen.account}`
    if ((last.get(place) ?? 0) >= seen.revision) faults.push(`${place}: ${seen.revision} after ${last.get(place)}`)
    last.set(place, seen.revision)
    const name = `${seen.account} ${seen.revision}`
    if ((tokens.get(name) ?? seen.token) !== seen.token) faults.push(`${name}: two contents`)
    tokens.set(name, seen.token)
    const isKnown = calls.some(call => call.account === seen.account && call.startMs <= seen.atMs &&
      (call.accepted === seen.revision || (call.isUncertain === true && call.expectedRevision + 1 === seen.revision)))
    if (!isKnown) faults.push(`${place}: ${seen.revision} was never accepted`)
  }
  return faults
}
