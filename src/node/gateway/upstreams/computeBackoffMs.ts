import { upstreamConstants } from './constants.js'

/** Time for which an upstream gets no requests. A time that cannot be read is neither zero nor without end. */
export function computeBackoffMs (statedMs: number | 'unreadable'): number {
  if (statedMs === 'unreadable') return upstreamConstants.defaultBackoffMs
  return Math.min(statedMs, upstreamConstants.maxBackoffMs)
}
