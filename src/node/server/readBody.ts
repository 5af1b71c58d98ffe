import type { IncomingMessage } from 'node:http'
import { RequestError } from '../requests/requestError.js'

/** Reads a body up to a maximum size and time. Rejects with `RequestError`. */
export async function readBody (request: IncomingMessage, maxBytes: number, timeoutMs: number): Promise<string> {
  const buildTooLargeError = (): RequestError => new RequestError('body_too_large', `the body is larger than ${maxBytes} bytes`, 413, 'not_run')
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
    request.resume()
    throw buildTooLargeError()
  }
  return await new Promise((resolve, reject) => {
    const chunks: Buffer[] = []
    let size = 0
    const finish = (report: () => void): void => {
      clearTimeout(timer)
      request.off('data', onData).off('end', onEnd).off('error', onClose).off('close', onClose)
      // The rest of the body is read and discarded: closing the connection with unread bytes would lose the response.
      request.resume()
      report()
    }
    const onData = (chunk: Buffer): void => {
      size += chunk.length
      if (size > maxBytes) finish(() => reject(buildTooLargeError()))
      else chunks.push(chunk)
    }
    const onEnd = (): void => finish(() => resolve(Buffer.concat(chunks).toString('utf8')))
    const onClose = (): void => finish(() => reject(new RequestError('body_incomplete', 'the connection closed before the body was complete', 400, 'not_run')))
    const timer = setTimeout(() => finish(() => reject(new RequestError('body_timeout', `the body was not complete after ${timeoutMs} ms`, 408, 'not_run'))), timeoutMs)
    request.on('data', onData).on('end', onEnd).on('error', onClose).on('close', onClose)
  })
}
