import type { IncomingMessage } from 'node:http'
import { ByteList } from '../../shared/byteList.js'
import type { SharedMemory } from '../gateway/memory/sharedMemory.js'
import { RequestError } from '../requests/requestError.js'
import { serverConstants } from './constants.js'

interface BodyLimits {
  readonly maxBytes: number
  readonly timeoutMs: number
  /** Memory for all bodies that are being received. */
  readonly memory: SharedMemory
  /** Account or operator, which shares the memory with others. */
  readonly group: string
}

/** Reads a body up to a maximum size and time. Rejects with `RequestError`. */
export async function readBody (request: IncomingMessage, { maxBytes, timeoutMs, memory, group }: BodyLimits): Promise<string> {
  const buildTooLargeError = (): RequestError => new RequestError('body_too_large', `the body is larger than ${maxBytes} bytes`, 413, 'not_run')
  const statedBytes = Number(request.headers['content-length'] ?? 0)
  if (statedBytes > maxBytes) {
    request.resume()
    throw buildTooLargeError()
  }
  // A body of stated length counts in full from its head on, so that one that is begun can be received.
  if (statedBytes > 0 && !memory.admit(group, statedBytes)) {
    request.resume()
    throw buildNoMemoryError()
  }
  return await new Promise((resolve, reject) => {
    const body = new ByteList()
    let heldBytes = statedBytes
    const finish = (report: () => void): void => {
      clearTimeout(timer)
      memory.release(group, heldBytes)
      request.off('data', onData).off('end', onEnd).off('error', onClose).off('close', onClose)
      // The rest of the body is read and discarded: closing the connection with unread bytes would lose the response.
      request.resume()
      report()
    }
    const onData = (chunk: Buffer): void => {
      const size = body.byteLength + chunk.length
      if (size > maxBytes) return finish(() => reject(buildTooLargeError()))
      const surplusBytes = Math.max(size - heldBytes, 0)
      if (surplusBytes > 0 && !memory.admit(group, surplusBytes)) return finish(() => reject(buildNoMemoryError()))
      heldBytes += surplusBytes
      body.add(chunk)
    }
    const onEnd = (): void => finish(() => resolve(body.buildBuffer().toString('utf8')))
    const onClose = (): void => finish(() => reject(new RequestError('body_incomplete', 'the connection closed before the body was complete', 400, 'not_run')))
    const timer = setTimeout(() => finish(() => reject(new RequestError('body_timeout', `the body was not complete after ${timeoutMs} ms`, 408, 'not_run'))), timeoutMs)
    request.on('data', onData).on('end', onEnd).on('error', onClose).on('close', onClose)
  })
}

function buildNoMemoryError (): RequestError {
  const retryAfterMs = serverConstants.bodyMemoryRetryAfterMs
  return new RequestError('memory_used_up', 'the memory for bodies is used up', 503, 'not_run', { retryAfterMs })
}
