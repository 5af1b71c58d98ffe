/** Calls that may wait at a runner besides the one that it works on. */
const queueLength = 2

/**
 * The runners of stage services, as the section "Stages" of the protocol page describes them. A runner works on one call at
 * a time. A result takes room at its maker from the turn of its call until `handleMs` after the end of the call, or until it
 * is freed. An item is answered `late`, `gone`, `room` or `error` where the page says so. `stages` are those of the route,
 * `pieces` the figures of the configuration; `onItem` gets each item when its call's turn comes,
 * `onResult` each one whose result is answered.
 */
export class StageRunners {
  /** Results by handle: the request, the stage, the piece, the maker, and until when they are kept. */
  results = new Map()
  nextHandle = 1
  /** Calls in progress and waiting, by runner. */
  turns = new Map()

  constructor ({ stages, pieces, onItem, onResult = () => {} }) {
    Object.assign(this, { stages, pieces, onItem, onResult })
  }

  /** The answer function of a runner. */
  get answer () {
    return (request, socket, upstream) => {
      const write = (status, value, headers = '') => { this.write(socket, request, upstream, status, value, headers) }
      if (request.method === 'GET' && request.path === '/health') return write(200, undefined, `X-Instance-Id: ${upstream.id}\r\n`)
      const { calls } = this.getTurn(upstream)
      if (request.method === 'GET' && request.path === '/-/report') {
        const freeMb = this.pieces.headroomMb - this.countBytes(upstream) / 1e6
        return write(200, { queuedRequests: Math.max(calls - 1, 0), busy: calls > 0, freeMb, born: upstream.born })
      }
      const { 'x-expected-instance': expected } = request.headers
      if (expected !== undefined && expected !== upstream.id) return write(421, undefined, 'X-Not-Executed: 1\r\n')
      const body = request.body.length === 0 ? {} : JSON.parse(request.body.toString('utf8'))
      if (request.method === 'POST' && request.path === '/-/stage-free') {
        for (const handle of body.handles ?? []) this.results.delete(handle)
        return write(200, {})
      }
      if (request.method !== 'POST' || request.path !== '/-/stage-run') return write(404)
      if (body.items.length > this.pieces.batch) return write(400, undefined, 'X-Not-Executed: 1\r\n')
      if (calls > queueLength) return write(503, undefined, 'X-Not-Executed: 1\r\n')
      this.queue(body.items, socket, upstream, write)
    }
  }

  /** The result of a handle that still exists. */
  find (handle) {
    const result = this.results.get(handle)
    return result !== undefined && result.untilMs > performance.now() ? result : undefined
  }

  getTurn (upstream) {
    const turn = this.turns.get(upstream.id) ?? { calls: 0, end: Promise.resolve() }
    this.turns.set(upstream.id, turn)
    return turn
  }

  countBytes (upstream) {
    let bytes = 0
    for (const [handle, result] of this.results) {
      if (result.untilMs <= performance.now()) this.results.delete(handle)
      else if (result.maker === upstream.id) bytes += result.bytes
    }
    return bytes
  }

  queue (items, socket, upstream, write) {
    const turn = this.getTurn(upstream)
    const arrivedAtMs = performance.now()
    turn.calls++
    turn.end = turn.end.then(async () => {
      // A close drops a call that waits, but not one that is worked on.
      if (!socket.destroyed) await this.run(items, arrivedAtMs, upstream, write)
      turn.calls--
    })
  }

  async run (items, arrivedAtMs, upstream, write) {
    const { callMs, itemMs, handleS, headroomMb } = this.pieces
    const waitedMs = performance.now() - arrivedAtMs
    const answers = items.map(item => {
      this.onItem(item, upstream)
      const { after, bytes } = this.stages[item.stage]
      if (item.remainingMs !== undefined && item.remainingMs <= waitedMs) return { reason: 'late' }
      if (after.length > 0 && !(Array.isArray(item.inputs) && item.inputs.every(input => typeof input === 'string'))) return { reason: 'error' }
      if (after.length > 0 && !item.inputs.every(input => this.find(input) !== undefined)) return { reason: 'gone' }
      if (this.countBytes(upstream) + bytes > headroomMb * 1e6) return { reason: 'room' }
      const handle = `${upstream.address}/${(0x1000000 + this.nextHandle++).toString(16)}`
      this.results.set(handle, { id: item.id, stage: item.stage, piece: item.piece, bytes, maker: upstream.id, untilMs: Infinity })
      return { handle }
    })
    const worked = answers.filter(({ handle }) => handle !== undefined)
    await new Promise(resolve => { setTimeout(resolve, callMs + worked.length * itemMs) })
    for (const { handle } of worked) {
      const result = this.results.get(handle)
      if (result !== undefined) result.untilMs = performance.now() + handleS * 1000
    }
    write(200, { items: answers })
    items.forEach((item, i) => { if (answers[i].handle !== undefined) this.onResult(item, upstream) })
  }

  write (socket, request, upstream, status, value, headers = '') {
    if (socket.destroyed) return
    const { calls } = this.getTurn(upstream)
    const body = value === undefined ? '' : JSON.stringify(value)
    const type = value === undefined ? '' : 'Content-Type: application/json\r\n'
    const id = request.id === undefined ? '' : `X-Request-Id: ${request.id}\r\n`
    socket.write(`HTTP/1.1 ${status} Status\r\n${id}X-Server-Load: ${Math.min(calls, 1)},${Math.max(calls - 1, 0)},1\r\n${headers}${type}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`)
  }
}
