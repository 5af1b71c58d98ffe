import type { HostRecord } from '../../types/hostRecord.js'
import type { HostState } from '../../types/hostState.js'

interface Member {
  readonly record: HostRecord
  /** Local time at which the record was applied. */
  readonly changedAtMs: number
}

// Of two records with the same incarnation, the state with the higher precedence wins, so that all hosts converge.
const statePrecedence: Readonly<Record<HostState, number>> = { live: 0, leaving: 1, suspect: 2, dead: 3 }

/** Records of the other hosts. The newest record of a host wins, whatever the order of arrival. */
export class MemberTable {
  private readonly members = new Map<string, Member>()

  /** Stores the record and returns true if it is newer than the known one. */
  apply (record: HostRecord, nowMs: number): boolean {
    const known = this.members.get(record.id)?.record
    if (known && !isNewer(record, known)) return false
    this.members.set(record.id, { record, changedAtMs: nowMs })
    return true
  }

  find (hostId: string): HostRecord | undefined {
    return this.members.get(hostId)?.record
  }

  list (...states: readonly HostState[]): readonly HostRecord[] {
    const found: HostRecord[] = []
    for (const { record } of this.members.values()) if (states.includes(record.state)) found.push(record)
    return found
  }

  /** Lists the hosts that have been in `state` for at least `ageMs`. */
  listInStateFor (state: HostState, ageMs: number, nowMs: number): readonly HostRecord[] {
    const found: HostRecord[] = []
    for (const { record, changedAtMs } of this.members.values()) {
      if (record.state === state && nowMs - changedAtMs >= ageMs) found.push(record)
    }
    return found
  }

  remove (hostId: string): void {
    this.members.delete(hostId)
  }

  /** Resets the change time of all hosts in `state` to `nowMs`. */
  updateChangedAt (state: HostState, nowMs: number): void {
    for (const [id, { record }] of this.members) if (record.state === state) this.members.set(id, { record, changedAtMs: nowMs })
  }
}

function isNewer (record: HostRecord, known: HostRecord): boolean {
  if (record.incarnation !== known.incarnation) return record.incarnation > known.incarnation
  return statePrecedence[record.state] > statePrecedence[known.state]
}
