import { chooseAddresses } from '../gateway/hosts/chooseAddresses.js'
import { computeConnectionLimit } from '../gateway/ingress/computeConnectionLimit.js'
import { gatewayConstants } from './gatewayConstants.js'
import { ingressConstants } from '../gateway/ingress/constants.js'
import { parsePlacementQuery } from '../gateway/placement/parsePlacementQuery.js'
import { platformEndpoints } from '../platform/platformEndpoints.js'
import { StatusServer } from '../gateway/ingress/statusServer.js'
import type { GatewayComponents } from './gatewayComponents.js'
import type { HostSettings } from '../gateway/model/hostSettings.js'
import type { PlacementExplainer } from '../gateway/placement/placementExplainer.js'
import type { Metrics } from '../../types/metrics.js'
import type { Random } from '../../types/random.js'
import type { StatusServerOptions } from '../gateway/ingress/statusServerOptions.js'

type StatusResponse = ReturnType<StatusServerOptions['handle']>

interface StatusServersOptions extends Pick<GatewayComponents, 'hosts'> {
  readonly getSettings: () => HostSettings
  readonly isReady: () => boolean
  readonly metrics: Metrics & { readonly render: () => string }
  readonly random: Random
  readonly placement: Pick<PlacementExplainer, 'explainPlacement'>
}

const notFound: StatusResponse = { status: 404, contentType: 'text/plain', body: '' }

/** Creates the servers beside the ingress, each with a share of the file descriptors. */
export function createStatusServers (
  { getSettings, hosts, isReady, metrics, random, placement }: StatusServersOptions
): Pick<GatewayComponents, 'readinessServer' | 'directoryServer' | 'metricsServer'> {
  const { fileDescriptors, directoryAddress } = getSettings()
  const createServer = (server: string, share: number, handle: StatusServerOptions['handle']): StatusServer => new StatusServer({
    maxConnections: computeConnectionLimit(fileDescriptors, share),
    onRefused: () => { metrics.addCount('status_connections_refused', { server }) },
    handle
  })
  const answerAddressQuery = (target: string): StatusResponse => {
    const addresses = chooseAddresses(hosts.listReady(), platformEndpoints.findClientDomain(target), random)
    if (addresses.length === 0) return { status: 503, contentType: 'text/plain', body: '' }
    const lifetimeMs = Math.min(ingressConstants.addressLifetimeMs, getSettings().timings.maxAddressLifetimeMs)
    return { status: 200, contentType: 'application/json', body: platformEndpoints.encodeAddressResponse(addresses, lifetimeMs) }
  }
  const answerPlacementQuery = (target: string): StatusResponse => {
    const query = parsePlacementQuery(target)
    const answer = query === undefined
      ? { status: 400, code: 'invalid_request', message: 'host and path are required' }
      : placement.explainPlacement(query)
    metrics.addCount('placements_explained', { outcome: 'code' in answer ? answer.code : 'explained' })
    if (!('code' in answer)) return { status: 200, contentType: 'application/json', body: JSON.stringify(answer) }
    const { status, code, message } = answer
    return { status, contentType: 'application/json', body: JSON.stringify({ error: { code, message } }) }
  }
  const { statusDescriptorShare, directoryDescriptorShare } = ingressConstants
  return {
    readinessServer: createServer('readiness', statusDescriptorShare, (method, target) => {
      return platformEndpoints.isReadinessRequest(method, target) ? { ...notFound, status: isReady() ? 200 : 503 } : notFound
    }),
    directoryServer: directoryAddress === undefined
      ? undefined
      : createServer('directory', directoryDescriptorShare, (method, target) => {
        return platformEndpoints.isAddressQuery(method, target) ? answerAddressQuery(target) : notFound
      }),
    metricsServer: createServer('metrics', statusDescriptorShare, (method, target) => {
      if (method === 'GET' && target.split('?')[0] === gatewayConstants.placementPath) return answerPlacementQuery(target)
      if (method !== 'GET' || target !== gatewayConstants.metricsPath) return notFound
      return { status: 200, contentType: 'text/plain; version=0.0.4', body: metrics.render() }
    })
  }
}
