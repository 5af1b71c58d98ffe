import { z } from 'zod'
import { KeyValueUnavailableError } from '../../shared/keyValueUnavailableError.js'
import { KeyValueUncertainError } from '../../shared/keyValueUncertainError.js'
import type { CompareAndSwapResult } from '../../types/compareAndSwapResult.js'
import type { KeyValueChange } from '../../types/keyValueChange.js'
import type { KeyValueEntry } from '../../types/keyValueEntry.js'
import type { KeyValueService } from '../../types/keyValueService.js'
import { HttpCallError } from './httpCallError.js'
import { HttpClient } from './httpClient.js'
import { KeyValueWatch } from './keyValueWatch.js'
import { keyValueConstants } from './constants.js'

const entrySchema = z.object({ key: z.string(), value: z.string(), version: z.number().int() })
const listSchema = z.object({ entries: z.array(entrySchema), revision: z.number().int() })
const versionSchema = z.object({ version: z.number().int() })
const leaseSchema = z.object({ leaseId: z.string() })

interface HttpResponse {
  readonly status: number
  readonly body: string
}

/** Key-value service over HTTP and JSON; section 7 of docs/design.md describes the protocol. */
export class HttpKeyValueService implements KeyValueService {
  private readonly client: HttpClient
  private readonly closeController = new AbortController()

  constructor (private readonly baseUrl: string, private readonly headers: Readonly<Record<string, string>>) {
    this.client = new HttpClient(baseUrl, headers, keyValueConstants.callTimeoutMs)
  }

  async read (key: string): Promise<KeyValueEntry | undefined> {
    const response = await this.sendRead(`/kv/${encodeKey(key)}`)
    if (response.status === 404) return undefined
    return parseReadResponse(response, entrySchema)
  }

  async list (prefix: string): Promise<{ readonly entries: readonly KeyValueEntry[], readonly revision: number }> {
    return parseReadResponse(await this.sendRead(`/kv?prefix=${encodeURIComponent(prefix)}`), listSchema)
  }

  async compareAndSwap (key: string, expectedVersion: number, value: string, leaseId?: string): Promise<CompareAndSwapResult> {
    return parseSwapResponse(await this.sendWrite('PUT', `/kv/${encodeKey(key)}`, { value, expectedVersion, leaseId }))
  }

  async remove (key: string, expectedVersion: number): Promise<CompareAndSwapResult> {
    const response = await this.sendWrite('DELETE', `/kv/${encodeKey(key)}?expectedVersion=${expectedVersion}`)
    if (response.status === 404) return { swapped: false, version: 0 }
    return parseSwapResponse(response)
  }

  async grantLease (ttlMs: number): Promise<string> {
    return parseWriteResponse(await this.sendWrite('POST', '/leases', { ttlMs }), leaseSchema).leaseId
  }

  async updateLease (leaseId: string): Promise<boolean> {
    const response = await this.sendWrite('PUT', `/leases/${encodeURIComponent(leaseId)}`, {})
    if (response.status === 404 || response.status === 410) return false
    validateWriteStatus(response)
    return true
  }

  async removeLease (leaseId: string): Promise<void> {
    const response = await this.sendWrite('DELETE', `/leases/${encodeURIComponent(leaseId)}`)
    if (response.status !== 404) validateWriteStatus(response)
  }

  watch (prefix: string, revision: number, onChange: (change: KeyValueChange) => void, signal: AbortSignal, onAlive?: () => void): void {
    const watch = new KeyValueWatch(this.baseUrl, this.headers, prefix, revision, onChange, onAlive ?? (() => {}))
    watch.run(AbortSignal.any([signal, this.closeController.signal])).catch(() => {})
  }

  /** Ends all watches and closes all connections. */
  async close (): Promise<void> {
    this.closeController.abort()
    await this.client.close()
  }

  // The service may close a keep-alive connection just as a request is sent on it. Reads have no side effects, so they
  // are retried once, except after a timeout.
  private async sendRead (path: string): Promise<HttpResponse> {
    try {
      return await this.client.send('GET', path).catch(async (error: unknown) => {
        if (error instanceof HttpCallError && error.mayHaveBeenSent && !error.isTimeout) return await this.client.send('GET', path)
        throw error
      })
    } catch (error) {
      throw new KeyValueUnavailableError(`the key-value service did not answer: ${formatCause(error)}`, { cause: error })
    }
  }

  private async sendWrite (method: 'PUT' | 'POST' | 'DELETE', path: string, body?: unknown): Promise<HttpResponse> {
    try {
      return await this.client.send(method, path, body)
    } catch (error) {
      const message = `the key-value service did not answer: ${formatCause(error)}`
      if (error instanceof HttpCallError && !error.mayHaveBeenSent) throw new KeyValueUnavailableError(message, { cause: error })
      throw new KeyValueUncertainError(message, { cause: error })
    }
  }
}

// Slashes separate the levels of a key and are not escaped.
function encodeKey (key: string): string {
  return key.split('/').map(encodeURIComponent).join('/')
}

function formatCause (error: unknown): string {
  return error instanceof Error ? error.message : 'unknown failure'
}

function parseReadResponse<T> (response: HttpResponse, schema: z.ZodType<T>): T {
  if (response.status === 200) {
    const parsed = schema.safeParse(parseJson(response.body))
    if (parsed.success) return parsed.data
  }
  throw new KeyValueUnavailableError(`the key-value service answered a read with status ${response.status}`)
}

function parseWriteResponse<T> (response: HttpResponse, schema: z.ZodType<T>): T {
  validateWriteStatus(response)
  const parsed = schema.safeParse(parseJson(response.body))
  if (parsed.success) return parsed.data
  throw new KeyValueUncertainError('the key-value service answered a write with an unreadable body')
}

function parseSwapResponse (response: HttpResponse): CompareAndSwapResult {
  if (response.status !== 409) return { swapped: true, version: parseWriteResponse(response, versionSchema).version }
  const parsed = versionSchema.safeParse(parseJson(response.body))
  if (parsed.success) return { swapped: false, version: parsed.data.version }
  throw new KeyValueUnavailableError('the key-value service refused a write with an unreadable body')
}

// Status 503 and 4xx (including 429) mean that the write was rejected; after any other error status its outcome is uncertain.
function validateWriteStatus (response: HttpResponse): void {
  if (response.status >= 200 && response.status < 300) return
  const message = `the key-value service answered a write with status ${response.status}`
  if (response.status === 503 || (response.status >= 400 && response.status < 500)) throw new KeyValueUnavailableError(message)
  throw new KeyValueUncertainError(message)
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
