import { createServer } from 'node:net'

/** Finds a port of the loopback address that is free now; another program may take it before it is used. */
export async function findFreePort (): Promise<number> {
  return await new Promise(resolve => {
    const server = createServer()
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as { port: number }
      server.close(() => { resolve(port) })
    })
  })
}
