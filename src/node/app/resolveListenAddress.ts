import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'

/** Replaces port 0 of `ip:port` by a free port, because other hosts are told the port before the server listens. */
export async function resolveListenAddress (address: string): Promise<string> {
  const separator = address.lastIndexOf(':')
  if (address.slice(separator + 1) !== '0') return address
  const host = address.slice(0, separator).replace(/^\[|\]$/g, '')
  const server = createServer()
  const port = await new Promise<number>((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, host, () => resolve((server.address() as AddressInfo).port))
  })
  await new Promise(resolve => server.close(resolve))
  return `${address.slice(0, separator)}:${port}`
}
