/** Flow control of an exchange: nothing more of its response is read between `pause` and `resume`. */
export interface ExchangeFlow {
  /** Takes effect when it is called within `onData`. */
  pause (): void
  /** Must not be called within a callback of an exchange. */
  resume (): void
}
