import type { ClientAccount } from '../model/clientAccount.js'
import type { GatewayConfiguration } from '../model/gatewayConfiguration.js'
import type { Logger } from '../../../types/logger.js'
import type { Metrics } from '../../../types/metrics.js'
import type { Route } from '../model/route.js'

/** The configuration in force. Its version only increases. */
export class ConfigurationHolder {
  private current: GatewayConfiguration | undefined
  private routesByHost: ReadonlyMap<string, readonly Route[]> = new Map()

  constructor (private readonly logger: Logger, private readonly metrics: Metrics, private readonly onChanged: (configuration: GatewayConfiguration) => void) {}

  getCurrent (): GatewayConfiguration | undefined {
    return this.current
  }

  /** Applies a newer version; ignores older and repeated ones. */
  apply (configuration: GatewayConfiguration): void {
    const { version } = configuration
    if (this.current !== undefined && version <= this.current.version) return
    this.logger.recordInfo('configuration in force', {
      version,
      previousVersion: this.current?.version,
      routes: configuration.routes.length
    })
    const { unreadableFields } = configuration
    if (unreadableFields !== undefined) {
      const fields = unreadableFields.join(' ')
      this.logger.recordWarning('fields of the configuration not readable', { version, fields, outcome: 'not stated' })
    }
    this.metrics.setGauge('configuration_version', {}, version)
    this.current = configuration
    this.routesByHost = buildRouteIndex(configuration.routes)
    this.onChanged(configuration)
  }

  /** Finds the route of the host name with the longest matching path prefix. */
  findRoute (hostName: string, path: string): Route | undefined {
    return this.routesByHost.get(hostName)?.find(route => path.startsWith(route.pathPrefix))
  }

  /** Finds the account of an API key; null when no account is required, undefined when the key is not accepted. */
  findAccount (route: Route, apiKey: string | undefined): ClientAccount | null | undefined {
    const accounts = this.current?.accountsByKey
    if (accounts === undefined) return null
    const account = apiKey === undefined ? undefined : accounts.get(apiKey)
    return account ?? (route.allowsAnonymous ? null : undefined)
  }
}

function buildRouteIndex (routes: readonly Route[]): ReadonlyMap<string, readonly Route[]> {
  const groups = new Map<string, Route[]>()
  for (const route of routes) groups.set(route.hostName, [...groups.get(route.hostName) ?? [], route])
  for (const group of groups.values()) group.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
  return groups
}
