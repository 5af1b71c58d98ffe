import { hostSignalNames } from './hostSignalNames.js'
import type { HostSignal } from './hostSignal.js'

interface SignalSource {
  on (signal: HostSignal, listener: () => void): unknown
}

/** Handles the signals of a process that runs a host; keeps those that arrive before there is a listener. */
export class HostSignals {
  private readonly kept: HostSignal[] = []
  private listener: ((signal: HostSignal) => void) | undefined

  constructor (private readonly source: SignalSource) {}

  start (): this {
    for (const signal of hostSignalNames) this.source.on(signal, () => { this.onSignal(signal) })
    return this
  }

  /** Passes the signals to `listener`, beginning with those that were kept. */
  setListener (listener: (signal: HostSignal) => void): void {
    this.listener = listener
    for (const signal of this.kept.splice(0)) listener(signal)
  }

  private onSignal (signal: HostSignal): void {
    if (this.listener === undefined) this.kept.push(signal)
    else this.listener(signal)
  }
}
