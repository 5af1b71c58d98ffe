/**
 * Faults that a soak test injects: the affected component, then the fault. Those of the store are described at
 * `StoreFault`, those of upstreams at `UpstreamFault` and those of links at `LinkFault`; `runFault` injects them.
 */
export const soakFaultTypes = [
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
] as const
