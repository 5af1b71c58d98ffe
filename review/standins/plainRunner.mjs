// Stand-in of a runner of a plain service.
import { buildAnswer, send, Server } from './server.mjs'

const queueLength = 24

export class PlainRunner {
  running = 0
  waiting = []
  answers = 0

  /** `onRun` gets each request that begins to run, with its runner; it returns true when the request crashes the runner. */
  constructor ({ host, id, service, zone, slots, workMs, onRun }) {
    Object.assign(this, { id, service, zone, slots, workMs, onRun, born: Date.now() })
    this.server = new Server(host, (request, socket) => { this.handle(request, socket) })
  }

  async start () {
    await this.server.start()
    this.address = this.server.address
    return this
  }

  stop () {
    this.server.stop()
  }

  crash () {
    this.hasCrashed = true
    this.server.crash()
  }

  buildEntry (sequence) {
    return { service: this.service, address: this.address, zone: this.zone, version: 'v1', slots: this.slots, state: 'ready', coldRemainingMs: 0, sequence, born: this.born }
  }

  handle (request, socket) {
    const id = request.headers['x-request-id']
    const refuse = status => { send(socket, buildAnswer(status, { 'X-Request-Id': id, 'X-Not-Executed': '1' }, '')) }
    const expected = request.headers['x-expected-instance']
    if (expected !== undefined && expected !== this.id) return refuse(421)
    if (request.path === '/health') return send(socket, buildAnswer(200, { 'X-Instance-Id': this.id }, ''))
    if (id === undefined) return refuse(400)
    if (this.running >= this.slots && this.waiting.length >= queueLength) return refuse(503)
    this.waiting.push({ request, socket, id })
    this.work()
  }

  work () {
    while (this.running < this.slots && this.waiting.length > 0) {
      const { request, socket, id } = this.waiting.shift()
      if (socket.destroyed) continue
      this.running++
      if (this.onRun(request, this)) return this.crash()
      setTimeout(() => {
        this.running--
        if (this.hasCrashed) return
        send(socket, buildAnswer(200, { 'X-Request-Id': id, 'X-Response-Signature': `${this.id}.${++this.answers}` }, `answer to ${id}`))
        this.work()
      }, this.workMs)
    }
  }
}
