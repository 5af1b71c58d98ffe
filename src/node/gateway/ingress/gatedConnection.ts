/** A connection whose input can be kept from the HTTP parser. */
export interface GatedConnection {
  /** From now on, the rest of a head is parsed only while `admit` allows it; otherwise the connection is closed. */
  readonly setInputGate: (admit: () => boolean) => void
  /** Closes the connection if it holds much of a head; returns whether it does. */
  readonly closeUnfinishedHead: () => boolean
}
