import { createServer } from 'node:net'

/** A port of the loopback address that was free a moment ago. */
export async function findFreePort (): Promise<number> {
  return await new Promise(resolve => {
    const server = createServer()
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as { port: number }
      server.close(() => { resolve(port) })
    })
  })
}
