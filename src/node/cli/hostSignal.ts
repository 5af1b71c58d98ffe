import type { hostSignalNames } from './hostSignalNames.js'

/** A signal that a host handles. */
export type HostSignal = typeof hostSignalNames[number]
