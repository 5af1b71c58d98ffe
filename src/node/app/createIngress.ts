import { computeConnectionLimit } from '../gateway/ingress/computeConnectionLimit.js'
import { decodeClientRequest } from '../platform/decodeClientRequest.js'
import { encodeErrorHeaders } from '../platform/encodeErrorHeaders.js'
import { encodeUpstreamHeaders } from '../platform/encodeUpstreamHeaders.js'
import { FirstEventTimes } from '../gateway/engines/firstEventTimes.js'
import { ingressConstants } from '../gateway/ingress/constants.js'
import { IngressServer } from '../gateway/ingress/ingressServer.js'
import { RetryBudget } from '../gateway/upstreams/retryBudget.js'
import type { AnswerMemory } from '../gateway/answers/answerMemory.js'
import type { CrashGuard } from '../gateway/crashes/crashGuard.js'
import type { EngineCapacities } from '../gateway/capacity/engineCapacities.js'
import type { EnginePlanner } from '../gateway/engines/enginePlanner.js'
import type { GatewayComponents } from './gatewayComponents.js'
import type { GatewayContext } from './gatewayContext.js'
import type { HeapGuard } from '../gateway/memory/heapGuard.js'
import type { RequestMemory } from '../gateway/memory/requestMemory.js'

interface IngressServerOptions extends Pick<
  GatewayComponents,
  'configuration' | 'hosts' | 'upstreams' | 'reachability' | 'relayClient' | 'stages' | 'streamVersions'
> {
  readonly directEngines: EnginePlanner
  readonly capacities: EngineCapacities
  readonly crashGuard: CrashGuard
  readonly answerMemory: AnswerMemory
  readonly requestMemory: RequestMemory
  readonly heap: HeapGuard
}

/** Creates the server for clients. */
export function createIngress (context: GatewayContext, options: IngressServerOptions): IngressServer {
  const { settings: { failureDomain, fileDescriptors }, settingsHolder, clock, random, logger, metrics } = context
  const { configuration, hosts, upstreams, reachability, relayClient, stages, streamVersions } = options
  const { directEngines, capacities, crashGuard, answerMemory, requestMemory, heap } = options
  return new IngressServer({
    configuration,
    decodeRequest: decodeClientRequest,
    encodeErrorHeaders,
    requestMemory,
    maxConnections: computeConnectionLimit(fileDescriptors, ingressConstants.clientDescriptorShare),
    heap,
    dependencies: {
      directory: upstreams,
      stages,
      engines: directEngines,
      capacities,
      crashGuard,
      firstEventTimes: new FirstEventTimes(),
      retryBudget: new RetryBudget(() => settingsHolder.get().timings, () => hosts.countHosts()),
      streamVersions,
      answerMemory,
      waitForPath: async () => {
        await reachability.waitForCheck()
        if (reachability.isCutOff()) await relayClient.waitForHost()
      },
      encodeHeaders: encodeUpstreamHeaders,
      failureDomain,
      clock,
      random,
      logger,
      metrics
    }
  })
}
