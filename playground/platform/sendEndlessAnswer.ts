import type { EndlessAnswer } from './endlessAnswer.js'
import type { Socket } from 'node:net'
import type { StandInRequest } from './standInRequest.js'

/** Writes an endless answer until the receiver closes the connection, with a pause for other work after each block. */
export function sendEndlessAnswer (socket: Socket, request: StandInRequest, { start, rest }: EndlessAnswer): void {
  const bytes = Buffer.from(rest)
  const send = (): void => {
    if (socket.destroyed) return
    if (socket.write(bytes)) setImmediate(send)
    else socket.once('drain', () => { setImmediate(send) })
  }
  socket.write(start(request))
  send()
}
