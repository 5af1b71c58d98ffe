import type { ListenOptions, Server } from 'node:net'

/** Resolves when the server listens; rejects with the error of the system, after which it can be opened again. */
export async function openListener (server: Server, options: ListenOptions): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    const onListening = (): void => {
      server.off('error', onError)
      resolve()
    }
    const onError = (error: Error): void => {
      server.off('listening', onListening)
      reject(error)
    }
    server.once('listening', onListening)
    server.once('error', onError)
    server.listen(options)
  })
}
