import { configurationSchema } from './configurationSchema.js'
import { EntryInvalidError } from './entryInvalidError.js'
import { platformConstants } from './constants.js'
import type { CallKind } from '../gateway/model/callKind.js'
import type { ClientAccount } from '../gateway/model/clientAccount.js'
import type { ColdSpec } from '../gateway/model/coldSpec.js'
import type { GatewayConfiguration } from '../gateway/model/gatewayConfiguration.js'
import type { IngressLimits } from '../gateway/model/ingressLimits.js'
import type { Route } from '../gateway/model/route.js'
import type { ServiceSpec } from '../gateway/model/serviceSpec.js'
import type { z } from 'zod'

type WireConfiguration = z.infer<typeof configurationSchema>
type WireRoute = WireConfiguration['routes'][number]
type WireService = WireConfiguration['services'][number]
type WireLimits = WireConfiguration['limits']

const callKinds: Readonly<Record<string, CallKind>> = { safe: 'idempotent', unsafe: 'once', streaming: 'stream' }
const defaultConnectionLimit = 16
/** Applies to routes that state no latency target. */
const defaultLatencyAimMs = 1000
const defaultPriority = 5
const bytesPerMegabyte = 1_000_000

/** Decodes a configuration. Throws `EntryInvalidError` when it is invalid. */
export function decodeConfiguration (value: Buffer): GatewayConfiguration {
  const parsed = configurationSchema.safeParse(parseJson(value))
  if (!parsed.success) throw new EntryInvalidError(`invalid configuration: ${parsed.error.issues.map(issue => `${issue.path.join('.')} ${issue.message}`).join('; ')}`)
  const { version, routes, services, limits, tenants } = parsed.data
  const unreadableFields = [...services.flatMap(listUnreadableFields), ...listUnreadableLimits(limits)]
  return {
    version,
    routes: routes.map(decodeRoute),
    services: new Map(services.map(service => [service.name, decodeService(service)])),
    accountsByKey: tenants === undefined || tenants === null ? undefined : decodeAccounts(tenants),
    limits: decodeLimits(limits),
    ...unreadableFields.length === 0 ? {} : { unreadableFields }
  }
}

function parseJson (value: Buffer): unknown {
  try {
    return JSON.parse(value.toString('utf8'))
  } catch (error) {
    throw new EntryInvalidError('the value is not valid JSON', { cause: error })
  }
}

function decodeRoute (route: WireRoute): Route {
  return {
    name: route.name,
    hostName: route.host.toLowerCase(),
    pathPrefix: route.pathPrefix,
    // Calls of an unknown kind must not run twice.
    callKind: callKinds[route.kind] ?? 'once',
    isResumable: route.resumeStreams === true,
    timeoutMs: route.timeoutMs,
    latencyAimMs: route.targetLatencyMs ?? defaultLatencyAimMs,
    pauseAimMs: route.targetGapMs ?? 0,
    priority: route.priority ?? defaultPriority,
    targets: route.trafficSplit ?? (route.service === undefined ? [] : [{ service: route.service, weight: 1 }]),
    maxAttempts: route.maxAttempts ?? 1,
    allowsAnonymous: route.allowAnonymous === true,
    stages: (route.stages ?? []).map((stage, index) => ({
      index,
      service: stage.service,
      after: stage.after ?? [],
      resultBytes: stage.bytes ?? 0
    }))
  }
}

/** Fields of a service that count as not stated. */
function listUnreadableFields ({ name, coldStartS, coldPerS }: WireService): readonly string[] {
  return Object.entries({ coldStartS, coldPerS })
    .filter(([, value]) => value !== undefined && value !== null && !isCount(value))
    .map(([field]) => `${name}.${field}`)
}

/** Limits that count as not stated. */
function listUnreadableLimits ({ unreadTimeoutMs }: WireLimits): readonly string[] {
  const isStated = unreadTimeoutMs !== undefined && unreadTimeoutMs !== null
  return isStated && !isTimeout(unreadTimeoutMs) ? ['limits.unreadTimeoutMs'] : []
}

function decodeLimits ({ unreadTimeoutMs, ...limits }: WireLimits): IngressLimits {
  return isTimeout(unreadTimeoutMs) ? { ...limits, unreadTimeoutMs } : limits
}

function isTimeout (value: unknown): value is number {
  return isCount(value) && value > 0
}

function isCount (value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0
}

function decodeCold ({ coldStartS, coldPerS }: WireService): ColdSpec | undefined {
  if (!isCount(coldPerS) || coldPerS === 0) return undefined
  const statedMs = isCount(coldStartS) ? coldStartS * 1000 : 0
  return { durationMs: Math.min(statedMs, platformConstants.maxColdMs), requestsPerSecond: coldPerS }
}

function decodeService (service: WireService): ServiceSpec {
  const { pieces, engine } = service
  const cold = decodeCold(service)
  return {
    name: service.name,
    connectionLimit: service.connectionLimit ?? defaultConnectionLimit,
    healthPath: service.healthCheckPath ?? '/health',
    engine: engine ? { slots: engine.slots, cacheTokens: engine.kvCacheTokens } : undefined,
    stage: pieces
      ? {
          concurrentCalls: pieces.slots,
          batchSize: pieces.batch,
          callMs: pieces.callMs,
          pieceMs: pieces.itemMs,
          resultRoomBytes: pieces.headroomMb * bytesPerMegabyte,
          resultLifetimeMs: pieces.handleS * 1000
        }
      : undefined,
    ...cold === undefined ? {} : { cold }
  }
}

function decodeAccounts (tenants: NonNullable<WireConfiguration['tenants']>): ReadonlyMap<string, ClientAccount> {
  const accounts = new Map<string, ClientAccount>()
  for (const { name, priority, apiKeys } of tenants) {
    for (const key of apiKeys ?? []) accounts.set(key, { name, priority })
  }
  return accounts
}
