import { waitForDelay } from '../../shared/waitForDelay.js'
import { Client } from 'undici'
import { z } from 'zod'
import type { KeyValueChange } from '../../types/keyValueChange.js'
import { HttpCallError } from './httpCallError.js'
import { platformConstants } from './constants.js'

const changeSchema = z.object({ key: z.string(), value: z.string().nullable(), version: z.number().int(), revision: z.number().int() })

/**
 * One watch of the key-value service. Each opening uses a connection of its own; a connection that is
 * silent for 3 s or breaks is replaced, and the watch goes on after the last revision seen.
 */
export class KeyValueWatch {
  private reopenMs: number = platformConstants.watchReopenMinMs

  constructor (
    private readonly baseUrl: string,
    private readonly headers: Readonly<Record<string, string>>,
    private readonly prefix: string,
    private revision: number,
    private readonly onChange: (change: KeyValueChange) => void,
    private readonly onAlive: () => void
  ) {}

  /** Watches until `signal` aborts. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.runConnection(signal).catch(() => {})
      await waitForDelay(this.reopenMs, signal)
      this.reopenMs = Math.min(this.reopenMs * 2, platformConstants.watchReopenMaxMs)
    }
  }

  private async runConnection (signal: AbortSignal): Promise<void> {
    const client = new Client(this.baseUrl, { bodyTimeout: 0, headersTimeout: 0, connectTimeout: platformConstants.watchSilenceMs })
    const onEnd = (): void => { client.destroy().catch(() => {}) }
    const silence = setTimeout(onEnd, platformConstants.watchSilenceMs)
    signal.addEventListener('abort', onEnd)
    try {
      const path = `/watch?prefix=${encodeURIComponent(this.prefix)}&after=${this.revision}`
      const answer = await client.request({ method: 'GET', path, headers: this.headers })
      if (answer.statusCode !== 200) throw new HttpCallError(`watch was refused with status ${answer.statusCode}`, true, false)
      answer.body.setEncoding('utf8')
      let rest = ''
      for await (const text of answer.body) {
        if (signal.aborted) return
        silence.refresh()
        const lines = (rest + String(text)).split('\n')
        rest = lines.pop() ?? ''
        lines.forEach(line => { this.receiveLine(line) })
      }
    } finally {
      clearTimeout(silence)
      signal.removeEventListener('abort', onEnd)
      onEnd()
    }
  }

  private receiveLine (line: string): void {
    this.reopenMs = platformConstants.watchReopenMinMs
    if (line.trim() === '') {
      this.onAlive()
      return
    }
    const change = changeSchema.parse(JSON.parse(line))
    if (change.revision <= this.revision) return
    this.onChange(change)
    this.revision = change.revision
  }
}
