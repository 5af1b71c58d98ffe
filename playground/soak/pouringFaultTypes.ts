/**
 * Faults of a service all of whose upstreams send bytes without end until the caller closes, also for health checks. The
 * last word tells what consists of them.
 */
export const pouringFaultTypes = [
  'service-pours-noise',
  'service-pours-status',
  'service-pours-headers',
  'service-pours-interim',
  'service-pours-trailers',
  'service-pours-body',
  'service-pours-events'
] as const
