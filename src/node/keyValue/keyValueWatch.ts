import { waitForDelay } from '../../shared/waitForDelay.js'
import { Client } from 'undici'
import { z } from 'zod'
import type { KeyValueChange } from '../../types/keyValueChange.js'
import { HttpCallError } from './httpCallError.js'
import { keyValueConstants } from './constants.js'

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
    const client = new Client(this.baseUrl, { bodyTimeout: 0, headersTimeout: 0, connectTimeout: keyValueConstants.watchIdleTimeoutMs })
    const destroyClient = (): void => { client.destroy().catch(() => {}) }
    const idleTimer = setTimeout(destroyClient, keyValueConstants.watchIdleTimeoutMs)
    signal.addEventListener('abort', destroyClient)
    try {
      const path = `/watch?prefix=${encodeURIComponent(this.prefix)}&after=${this.lastRevision}`
      const response = await client.request({ method: 'GET', path, headers: this.headers })
      if (response.statusCode !== 200) throw new HttpCallError(`watch was refused with status ${response.statusCode}`, true, false)
      response.body.setEncoding('utf8')
      let incompleteLine = ''
      for await (const text of response.body) {
        if (signal.aborted) return
        idleTimer.refresh()
        const lines = (incompleteLine + String(text)).split('\n')
        incompleteLine = lines.pop() ?? ''
        lines.forEach(line => { this.receiveLine(line) })
      }
    } finally {
      clearTimeout(idleTimer)
      signal.removeEventListener('abort', destroyClient)
      destroyClient()
    }
  }

  private receiveLine (line: string): void {
    this.reopenDelayMs = keyValueConstants.minWatchReopenDelayMs
    if (line.trim() === '') {
      this.onAlive()
      return
    }
    const change = changeSchema.parse(JSON.parse(line))
    if (change.revision <= this.lastRevision) return
    this.onChange(change)
    this.lastRevision = change.revision
  }
}
