import { request as sendRequest } from 'node:http'

/** Sends a client's request that leaves after `count` events; resolves with the text that it has, less when it ends before. */
export async function readFirstEvents (
  address: string,
  path: string,
  headers: Readonly<Record<string, string>>,
  count: number
): Promise<string> {
  const [host, port] = address.split(':')
  return await new Promise((resolve, reject) => {
    const request = sendRequest({ host, port, path, agent: false, headers }, response => {
      let text = ''
      response.on('data', (chunk: Buffer) => {
        text += chunk.toString('utf8')
        if (text.split('\n\n').length > count) response.destroy()
      })
      response.on('error', () => { resolve(text) })
      response.on('close', () => { resolve(text) })
    })
    request.on('error', reject)
    request.end()
  })
}
