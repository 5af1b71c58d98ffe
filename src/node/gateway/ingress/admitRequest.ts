import { computeArrivalMs } from './computeArrivalMs.js'
import { ingressConstants } from './constants.js'
import { ingressRefusals } from './ingressRefusals.js'
import type { Admission } from './admission.js'
import type { ClientExchange } from './clientExchange.js'
import type { IngressOptions } from './ingressOptions.js'
import type { IngressRefusal } from './ingressRefusal.js'
import type { RequestRunDependencies } from './requestRunDependencies.js'
import type { Route } from '../model/route.js'

interface AdmissionOptions extends Pick<IngressOptions, 'configuration'> {
  readonly dependencies: Pick<RequestRunDependencies, 'clock' | 'directory'>
}

/**
 * Decides from its head and the time whether a request is served. `stopsAtMs` is the monotonic time at which the host
 * stops, `Infinity` while it does not.
 */
export function admitRequest (
  exchange: ClientExchange,
  stopsAtMs: number,
  { configuration, dependencies: { clock, directory } }: AdmissionOptions
): Admission | IngressRefusal {
  const { request, message, hasHost } = exchange
  const current = configuration.getCurrent()
  if (current === undefined) return ingressRefusals.notReady
  if (message.httpVersion === '1.1' && !hasHost) return ingressRefusals.hostMissing
  if (request === undefined) return ingressRefusals.idMissing
  const route = configuration.findRoute(request.hostName, request.target.split('?')[0]!)
  if (route === undefined) return { status: 404, code: 'unknown_route', reason: `no route for ${request.hostName}` }
  const account = configuration.findAccount(route, request.apiKey)
  if (account === undefined) return ingressRefusals.unauthorized
  const nowMs = clock.readMonotonicMs()
  if (stopsAtMs - nowMs < computeServingMs(route, directory)) return ingressRefusals.stopping
  const clientTimeMs = request.timeLeftMs ?? route.timeoutMs
  const arrivedAtMs = computeArrivalMs(exchange, clientTimeMs)
  const timeLeftMs = clientTimeMs - ingressConstants.responseMarginMs
  const deadlineAtMs = Math.min(stopsAtMs, arrivedAtMs + Math.min(timeLeftMs, route.timeoutMs))
  if (deadlineAtMs <= nowMs) return ingressRefusals.deadlinePassed
  return { route, account, configurationVersion: current.version, arrivedAtMs, deadlineAtMs }
}

/** Time in which requests of a route usually get their whole answer. */
function computeServingMs (
  { callKind, targets }: Route,
  directory: Pick<RequestRunDependencies['directory'], 'computeUsualDurationMs'>
): number {
  const { minStreamTimeMs, minPlainTimeMs, stopDurationFactor } = ingressConstants
  if (callKind === 'stream') return minStreamTimeMs
  const usualMs = Math.max(0, ...targets.map(({ service }) => directory.computeUsualDurationMs(service)))
  return Math.max(minPlainTimeMs, usualMs * stopDurationFactor)
}
