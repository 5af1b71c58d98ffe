import { connect, createServer } from 'node:net'
import { sendEndlessAnswer } from './sendEndlessAnswer.js'
import type { AddressInfo, Socket } from 'node:net'
import type { EndlessAnswer } from './endlessAnswer.js'

/** A TCP proxy in front of a service, which a test lets answer each call without end instead. */
export class EndlessLink {
  address = ''
  /** Calls that were answered without end. */
  answerCount = 0
  private answer: EndlessAnswer | undefined
  private readonly sockets = new Set<Socket>()
  private readonly server = createServer(socket => { this.openPair(socket) })

  constructor (private readonly target: string) {}

  async start (): Promise<this> {
    await new Promise<void>(resolve => { this.server.listen(0, '127.0.0.1', resolve) })
    this.address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`
    return this
  }

  /** Answers all calls with `answer` from now on, or passes them on when it is undefined. Closes all connections. */
  setAnswer (answer: EndlessAnswer | undefined): void {
    this.answer = answer
    this.answerCount = 0
    for (const socket of this.sockets) socket.destroy()
  }

  stop (): void {
    this.setAnswer(undefined)
    this.server.close()
  }

  private openPair (socket: Socket): void {
    this.addSocket(socket)
    const { answer } = this
    if (answer === undefined) {
      const [host, port] = this.target.split(':')
      const targetSocket = connect({ host, port: Number(port), noDelay: true })
      this.addSocket(targetSocket)
      socket.pipe(targetSocket).pipe(socket)
      socket.once('close', () => { targetSocket.destroy() })
      targetSocket.once('close', () => { socket.destroy() })
      return
    }
    socket.once('data', () => {
      this.answerCount++
      socket.resume()
      sendEndlessAnswer(socket, { method: 'GET', path: '/', headers: {}, body: '' }, answer)
    })
  }

  private addSocket (socket: Socket): void {
    this.sockets.add(socket)
    socket.setNoDelay(true)
    socket.on('error', () => {})
    socket.once('close', () => { this.sockets.delete(socket) })
  }
}
