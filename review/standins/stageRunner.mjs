// Stand-in of a runner of a stage service: one call at a time, two more wait.
import { randomBytes } from 'node:crypto'
import { buildAnswer, send, Server } from './server.mjs'

const queueLength = 2

export class StageRunner {
  /** Called with the bytes of a finished answer and its connection, before they are sent. */
  onAnswer = () => {}
  /** Called with each request, before it is handled. */
  onRequest = () => {}
  waiting = []
  isBusy = false

  /** Bytes of the results that lie here or are being made. */
  usedBytes = 0

  /**
   * `results` holds what each handle was made for, of all runners. `onPiece` gets each piece that is worked on.
   * `resultBytes` is the size of a result of this service, and `headroomBytes` the room for them.
   */
  constructor ({ host, id, service, zone, callMs, itemMs, handleS, resultBytes, headroomBytes, results, onPiece = () => {} }) {
    Object.assign(this, { id, service, zone, callMs, itemMs, handleS, resultBytes, headroomBytes, results, onPiece, born: Date.now() })
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

  buildEntry (sequence) {
    return { service: this.service, address: this.address, zone: this.zone, version: 'v1', slots: 1, state: 'ready', coldRemainingMs: 0, sequence, born: this.born }
  }

  /** Frees a result of this runner; a handle of another one names nothing here. */
  free (handle) {
    if (this.results.get(handle)?.maker !== this) return
    this.results.delete(handle)
    this.usedBytes -= this.resultBytes
  }

  get load () {
    return `${this.isBusy ? 1 : 0},${this.waiting.length},1,100`
  }

  handle (request, socket) {
    this.onRequest(request, socket)
    const headers = { 'Content-Type': 'application/json', 'X-Server-Load': this.load }
    // Runners echo the id of a request that has one.
    if (request.headers['x-request-id'] !== undefined) headers['X-Request-Id'] = request.headers['x-request-id']
    const expected = request.headers['x-expected-instance']
    if (expected !== undefined && expected !== this.id) {
      return send(socket, buildAnswer(421, { ...headers, 'X-Not-Executed': '1' }, '{}'))
    }
    if (request.path === '/health') return send(socket, buildAnswer(200, { ...headers, 'X-Instance-Id': this.id }, ''))
    if (request.path === '/-/stage-free') {
      for (const handle of JSON.parse(request.body).handles) this.free(handle)
      const answer = buildAnswer(200, headers, '')
      this.onAnswer(answer, socket, request)
      return send(socket, answer)
    }
    if (this.isBusy && this.waiting.length >= queueLength) {
      return send(socket, buildAnswer(503, { ...headers, 'X-Not-Executed': '1' }, '{}'))
    }
    this.waiting.push({ request, socket, headers, arrivedAtMs: performance.now() })
    if (!this.isBusy) this.work()
  }

  /** Works on the next call. A call whose connection has closed while it waited is dropped. */
  work () {
    let call = this.waiting.shift()
    while (call?.socket.destroyed) call = this.waiting.shift()
    if (call === undefined) return
    this.isBusy = true
    const { request, socket, headers, arrivedAtMs } = call
    const { items } = JSON.parse(request.body)
    const waitedMs = performance.now() - arrivedAtMs
    const reasons = items.map(({ inputs, remainingMs }) => {
      if (remainingMs !== undefined && remainingMs <= waitedMs) return 'late'
      if ((inputs ?? []).some(handle => !this.results.has(handle))) return 'gone'
      // A result takes up space from the turn of its call.
      if (this.usedBytes + this.resultBytes > this.headroomBytes) return 'room'
      this.usedBytes += this.resultBytes
      return undefined
    })
    items.forEach((item, i) => { if (reasons[i] === undefined) this.onPiece(item, this) })
    setTimeout(() => {
      const made = items.map((item, i) => {
        if (reasons[i] !== undefined) return { reason: reasons[i] }
        const handle = `${this.address}/${randomBytes(6).toString('hex')}`
        this.results.set(handle, { id: item.id, stage: item.stage, piece: item.piece, maker: this })
        setTimeout(() => { this.free(handle) }, this.handleS * 1000).unref()
        return { handle }
      })
      this.isBusy = false
      const answer = buildAnswer(200, { ...headers, 'X-Server-Load': this.load }, JSON.stringify({ items: made }))
      this.onAnswer(answer, socket, request)
      send(socket, answer)
      this.work()
    }, this.callMs + this.itemMs * reasons.filter(reason => reason === undefined).length)
  }
}
