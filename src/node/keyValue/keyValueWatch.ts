import { waitForDelay } from '../../shared/waitForDelay.js'
import { z } from 'zod'
import type { KeyValueChange } from '../../types/keyValueChange.js'
import { HttpCallError } from './httpCallError.js'
import { keyValueConstants } from './constants.js'
import { ServiceClient } from '../connections/serviceClient.js'
import { WatchHandler } from './watchHandler.js'

const changeSchema = z.object({ key: z.string(), value: z.string().nullable(), version: z.number().int(), revision: z.number().int() })

/**
 * One watch of the key-value service on a dedicated connection. A connection that fails or is silent for 3 s is
 * replaced, and the watch resumes after the last revision received.
 */
export class KeyValueWatch {
  private reopenDelayMs: number = keyValueConstants.minWatchReopenDelayMs

  constructor (
    private readonly baseUrl: string,
    private readonly headers: Readonly<Record<string, string>>,
    private readonly prefix: string,
    private lastRevision: number,
    private readonly onChange: (change: KeyValueChange) => void,
    private readonly onAlive: () => void
  ) {}

  /** Watches until `signal` aborts. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.runConnection(signal).catch(() => {})
      await waitForDelay(this.reopenDelayMs, signal)
      this.reopenDelayMs = Math.min(this.reopenDelayMs * 2, keyValueConstants.maxWatchReopenDelayMs)
    }
  }

  private async runConnection (signal: AbortSignal): Promise<void> {
    const client = new ServiceClient(this.baseUrl, {
      connectTimeoutMs: keyValueConstants.watchIdleTimeoutMs,
      createError: (message, cause) => new HttpCallError(message, false, false, { cause })
    })
    const destroyClient = (): void => { client.destroy().catch(() => {}) }
    const idleTimer = setTimeout(destroyClient, keyValueConstants.watchIdleTimeoutMs)
    signal.addEventListener('abort', destroyClient)
    try {
      const path = `/watch?prefix=${encodeURIComponent(this.prefix)}&after=${this.lastRevision}`
      await new Promise<void>((resolve, reject) => {
        client.dispatch({ method: 'GET', path, headers: this.headers }, new WatchHandler({
          onData: () => { idleTimer.refresh() },
          onLine: line => { if (!signal.aborted) this.receiveChange(line) },
          onHeartbeat: () => { if (!signal.aborted) this.receiveHeartbeat() },
          onEnd: resolve,
          onFailure: reject
        }))
      })
    } finally {
      clearTimeout(idleTimer)
      signal.removeEventListener('abort', destroyClient)
      destroyClient()
    }
  }

  private receiveHeartbeat (): void {
    this.reopenDelayMs = keyValueConstants.minWatchReopenDelayMs
    this.onAlive()
  }

  private receiveChange (line: string): void {
    this.reopenDelayMs = keyValueConstants.minWatchReopenDelayMs
    const change = changeSchema.parse(JSON.parse(line))
    if (change.revision <= this.lastRevision) return
    this.onChange(change)
    this.lastRevision = change.revision
  }
}
