import { z } from 'zod'
import { KeyValueUnavailableError } from '../../shared/keyValueUnavailableError.js'
import { KeyValueUncertainError } from '../../shared/keyValueUncertainError.js'
import type { CompareAndSwapResult } from '../../types/compareAndSwapResult.js'
import type { KeyValueChange } from '../../types/keyValueChange.js'
import type { KeyValueEntry } from '../../types/keyValueEntry.js'
import type { KeyValueService } from '../../types/keyValueService.js'
import { HttpCallError } from './httpCallError.js'
import { HttpLink } from './httpLink.js'
import { KeyValueWatch } from './keyValueWatch.js'
import { platformConstants } from './constants.js'

const entrySchema = z.object({ key: z.string(), value: z.string(), version: z.number().int() })
const listSchema = z.object({ entries: z.array(entrySchema), revision: z.number().int() })
const versionSchema = z.object({ version: z.number().int() })
const leaseSchema = z.object({ leaseId: z.string() })

interface Answer {
  readonly status: number
  readonly body: string
}

/** Key-value service over HTTP with JSON; section 7 of docs/design.md describes the protocol. */
export class HttpKeyValueService implements KeyValueService {
  private readonly link: HttpLink
  private readonly closing = new AbortController()

  constructor (private readonly baseUrl: string, private readonly headers: Readonly<Record<string, string>>) {
    this.link = new HttpLink(baseUrl, headers, platformConstants.callTimeoutMs)
  }

  async read (key: string): Promise<KeyValueEntry | undefined> {
    const answer = await this.sendRead(`/kv/${encodeKey(key)}`)
    if (answer.status === 404) return undefined
    return parseReadAnswer(answer, entrySchema)
  }

  async list (prefix: string): Promise<{ readonly entries: readonly KeyValueEntry[], readonly revision: number }> {
    return parseReadAnswer(await this.sendRead(`/kv?prefix=${encodeURIComponent(prefix)}`), listSchema)
  }

  async compareAndSwap (key: string, expectedVersion: number, value: string, leaseId?: string): Promise<CompareAndSwapResult> {
    return parseSwapAnswer(await this.sendWrite('PUT', `/kv/${encodeKey(key)}`, { value, expectedVersion, leaseId }))
  }

  async remove (key: string, expectedVersion: number): Promise<CompareAndSwapResult> {
    const answer = await this.sendWrite('DELETE', `/kv/${encodeKey(key)}?expectedVersion=${expectedVersion}`)
    if (answer.status === 404) return { swapped: false, version: 0 }
    return parseSwapAnswer(answer)
  }

  async grantLease (ttlMs: number): Promise<string> {
    return parseWriteAnswer(await this.sendWrite('POST', '/leases', { ttlMs }), leaseSchema).leaseId
  }

  async updateLease (leaseId: string): Promise<boolean> {
    const answer = await this.sendWrite('PUT', `/leases/${encodeURIComponent(leaseId)}`, {})
    if (answer.status === 404 || answer.status === 410) return false
    validateWriteStatus(answer)
    return true
  }

  async removeLease (leaseId: string): Promise<void> {
    const answer = await this.sendWrite('DELETE', `/leases/${encodeURIComponent(leaseId)}`)
    if (answer.status !== 404) validateWriteStatus(answer)
  }

  watch (prefix: string, revision: number, onChange: (change: KeyValueChange) => void, signal: AbortSignal, onAlive?: () => void): void {
    const watch = new KeyValueWatch(this.baseUrl, this.headers, prefix, revision, onChange, onAlive ?? (() => {}))
    watch.run(AbortSignal.any([signal, this.closing.signal])).catch(() => {})
  }

  /** Ends all watches and connections. */
  async close (): Promise<void> {
    this.closing.abort()
    await this.link.close()
  }

  // A kept-alive connection may have been closed by the service just before the call; reads have no
  // effect, so they are sent once more on another connection. Timeouts are not repeated.
  private async sendRead (path: string): Promise<Answer> {
    try {
      return await this.link.send('GET', path).catch(async (error: unknown) => {
        if (error instanceof HttpCallError && error.isSent && !error.isTimeout) return await this.link.send('GET', path)
        throw error
      })
    } catch (error) {
      throw new KeyValueUnavailableError(`the key-value service did not answer: ${formatCause(error)}`, { cause: error })
    }
  }

  private async sendWrite (method: 'PUT' | 'POST' | 'DELETE', path: string, body?: unknown): Promise<Answer> {
    try {
      return await this.link.send(method, path, body)
    } catch (error) {
      const message = `the key-value service did not answer: ${formatCause(error)}`
      if (error instanceof HttpCallError && !error.isSent) throw new KeyValueUnavailableError(message, { cause: error })
      throw new KeyValueUncertainError(message, { cause: error })
    }
  }
}

// Slashes separate the levels of a key and stay readable in the path.
function encodeKey (key: string): string {
  return key.split('/').map(encodeURIComponent).join('/')
}

function formatCause (error: unknown): string {
  return error instanceof Error ? error.message : 'unknown failure'
}

function parseReadAnswer<T> (answer: Answer, schema: z.ZodType<T>): T {
  if (answer.status === 200) {
    const parsed = schema.safeParse(parseJson(answer.body))
    if (parsed.success) return parsed.data
  }
  throw new KeyValueUnavailableError(`the key-value service answered a read with status ${answer.status}`)
}

function parseWriteAnswer<T> (answer: Answer, schema: z.ZodType<T>): T {
  validateWriteStatus(answer)
  const parsed = schema.safeParse(parseJson(answer.body))
  if (parsed.success) return parsed.data
  throw new KeyValueUncertainError('the key-value service answered a write with an unreadable body')
}

function parseSwapAnswer (answer: Answer): CompareAndSwapResult {
  if (answer.status !== 409) return { swapped: true, version: parseWriteAnswer(answer, versionSchema).version }
  const parsed = versionSchema.safeParse(parseJson(answer.body))
  if (parsed.success) return { swapped: false, version: parsed.data.version }
  throw new KeyValueUnavailableError('the key-value service refused a write with an unreadable body')
}

// 503, 429 and other 4xx answers are refusals before the write; any other status leaves the effect open.
function validateWriteStatus (answer: Answer): void {
  if (answer.status >= 200 && answer.status < 300) return
  const message = `the key-value service answered a write with status ${answer.status}`
  if (answer.status === 503 || (answer.status >= 400 && answer.status < 500)) throw new KeyValueUnavailableError(message)
  throw new KeyValueUncertainError(message)
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
