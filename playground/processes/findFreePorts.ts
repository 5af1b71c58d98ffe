import { createServer } from 'node:net'
import { processConstants } from './constants.js'
import { ProcessError } from './processError.js'

/** Finds random ports of the loopback address that are free now. */
export async function findFreePorts (count: number): Promise<readonly number[]> {
  const ports = new Set<number>()
  for (let attempt = 0; ports.size < count && attempt < 100 + 20 * count; attempt++) {
    const port = processConstants.firstPort + Math.floor(Math.random() * processConstants.portCount)
    if (await isFree(port)) ports.add(port)
  }
  if (ports.size < count) throw new ProcessError(`found only ${ports.size} of ${count} free ports`)
  return [...ports]
}

function isFree (port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}
