import type { HostRecord } from '../../types/hostRecord.js'
import type { HostState } from '../../types/hostState.js'

interface MemberMessage {
  readonly id?: string | null
  readonly failureDomain?: string | null
  readonly address?: string | null
  readonly peerAddress?: string | null
  readonly incarnation?: number | null
  readonly state?: string | null
}

const states: readonly string[] = ['live', 'suspect', 'dead', 'leaving']

/** Parses a host record from the wire; returns undefined if a required field is missing or the state is unknown. */
export function parseMember (message: MemberMessage | null | undefined): HostRecord | undefined {
  const { id, failureDomain, address, peerAddress, incarnation, state } = message ?? {}
  if (!id || !peerAddress || !address || !state || !states.includes(state)) return undefined
  if (!Number.isFinite(incarnation)) return undefined
  return { id, failureDomain: failureDomain ?? '', address, peerAddress, incarnation: incarnation as number, state: state as HostState }
}
