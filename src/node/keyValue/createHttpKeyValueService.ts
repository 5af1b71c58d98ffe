import type { KeyValueService } from '../../types/keyValueService.js'
import { HttpKeyValueService } from './httpKeyValueService.js'

interface HttpKeyValueOptions {
  /** Base URL, e.g. `http://127.0.0.1:7001`. */
  readonly baseUrl: string
  /** Sent as `X-Host-Id` with every request. */
  readonly hostId: string
}

/**
 * Creates an HTTP client of the platform's key-value service. Each attempt of a call completes or fails within 1 s.
 * A write that is rejected with status 503 or 4xx, or that could not connect, had no effect; the outcome of any other
 * failed write is uncertain.
 */
export function createHttpKeyValueService (options: HttpKeyValueOptions): KeyValueService & { close (): Promise<void> } {
  return new HttpKeyValueService(options.baseUrl, { 'x-host-id': options.hostId })
}
