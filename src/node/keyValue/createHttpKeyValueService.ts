import type { KeyValueService } from '../../types/keyValueService.js'
import { HttpKeyValueService } from './httpKeyValueService.js'

interface HttpKeyValueOptions {
  /** Base URL, e.g. `http://127.0.0.1:7001`. */
  readonly baseUrl: string
  /** Sent as `X-Host-Id` with each call. */
  readonly hostId: string
}

/**
 * Adapter of the platform's key-value service. Every call ends within 1 s. A status 503 or 4xx and a
 * refused connection count as "certainly no effect"; every other failure of a write is uncertain.
 */
export function createHttpKeyValueService (options: HttpKeyValueOptions): KeyValueService & { close (): Promise<void> } {
  return new HttpKeyValueService(options.baseUrl, { 'x-host-id': options.hostId })
}
