// Stand-in of a model runner: streams numbered events.
import { buildAnswer, send, Server } from './server.mjs'

export class ModelRunner {
  starts = 0

  /**
   * `onRun` gets each request that begins to run. `results` holds what each handle was made for; undefined without
   * stages. Streams that are not framed have neither a length nor chunks and end with their connection.
   */
  constructor ({ host, id, service, zone, slots, firstMs, pauseMs, events, results, isFramed = true, onRun = () => {} }) {
    Object.assign(this, { id, service, zone, slots, firstMs, pauseMs, events, results, isFramed, onRun })
    this.born = Date.now()
    this.running = 0
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
    this.server.crash()
  }

  buildEntry (sequence) {
    return {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: 'ready',
      coldRemainingMs: 0,
      sequence,
      born: this.born,
      stage: 'prefill_and_decode',
      models: [{ name: 'm', version: 1, adapters: [] }]
    }
  }

  handle (request, socket) {
    const id = request.headers['x-request-id']
    const headers = { 'X-Request-Id': id, 'X-Weight-Versions': '1' }
    const refuse = status => { send(socket, buildAnswer(status, { ...headers, 'X-Not-Executed': '1' }, '')) }
    const expected = request.headers['x-expected-instance']
    if (expected !== undefined && expected !== this.id) return refuse(421)
    if (request.path === '/health') return send(socket, buildAnswer(200, { ...headers, 'X-Instance-Id': this.id }, ''))
    if (id === undefined) return refuse(400)
    const inputs = (request.headers['x-inputs'] ?? '').split(',').filter(handle => handle !== '')
    if (this.results !== undefined && inputs.length === 0) return refuse(400)
    if (inputs.some(handle => !this.results.has(handle))) return refuse(409)
    if (this.running >= this.slots) return refuse(503)
    this.running++
    const run = { id, runner: this.id, headers: request.headers, inputs, made: inputs.map(handle => this.results.get(handle)) }
    this.onRun(run)
    const signature = `${this.id}.${++this.starts}`
    let next = Number(request.headers['last-event-id'] ?? 0) + 1
    const end = () => {
      clearTimeout(timer)
      this.running--
      socket.off('close', end)
    }
    socket.on('close', end)
    const sendNext = () => {
      const event = `id: ${next}\ndata: ${id} ${next}\n\n`
      send(socket, this.isFramed ? `${event.length.toString(16)}\r\n${event}\r\n` : event)
      if (next++ < this.events) timer = setTimeout(sendNext, this.pauseMs)
      else {
        if (this.isFramed) send(socket, '0\r\n\r\n')
        else socket.end()
        end()
      }
    }
    let timer = setTimeout(() => {
      send(socket, `HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: ${id}\r\nX-Weight-Versions: 1\r\nX-Response-Signature: ${signature}\r\n${this.isFramed ? 'Transfer-Encoding: chunked\r\n' : ''}\r\n`)
      sendNext()
    }, this.firstMs)
  }
}
