/**
 * Faults that a soak test injects: the affected component, then the fault. `StoreFault`, `LinkFault` and `UpstreamFault`
 * describe the faults of the store, of links and of upstreams. `store-history` discards the store's change history,
 * `upstream-replaced` ends an upstream without notice and starts another one, `upstream-drained` does so with notice, and
 * `configuration` writes a new configuration.
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
