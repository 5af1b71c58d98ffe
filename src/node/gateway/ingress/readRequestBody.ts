import type { IncomingMessage } from 'node:http'

/** Reads the body of a client request, up to `maxBytes`; `incomplete` when the connection ends first. */
export async function readRequestBody (message: IncomingMessage, maxBytes: number): Promise<Buffer | 'too-large' | 'incomplete'> {
  const chunks: Buffer[] = []
  let size = 0
  return await new Promise(resolve => {
    message.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size <= maxBytes) chunks.push(chunk)
    })
    message.on('end', () => { resolve(size > maxBytes ? 'too-large' : Buffer.concat(chunks)) })
    message.on('close', () => { resolve('incomplete') })
    message.on('error', () => { resolve('incomplete') })
  })
}
