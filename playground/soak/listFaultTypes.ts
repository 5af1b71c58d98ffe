import type { SoakFaultType } from './soakFaultType.js'

/** All kinds of fault of a soak. */
export function listFaultTypes (): readonly SoakFaultType[] {
  return [
    'host-stopped',
    'host-killed',
    'host-frozen',
    'host-reloaded',
    'store-busy',
    'store-many',
    'store-silent',
    'store-reset',
    'store-lost',
    'store-history',
    'store-link-silent',
    'store-link-one-way',
    'store-link-delay',
    'upstream-link-reset',
    'upstream-link-silent',
    'upstream-link-one-way',
    'upstream-link-delay',
    'upstream-errors',
    'upstream-answer-lost',
    'upstream-hang',
    'upstream-torn',
    'upstream-extra',
    'upstream-replaced',
    'upstream-drained',
    'configuration'
  ]
}
