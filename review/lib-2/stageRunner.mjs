import { performance } from 'node:perf_hooks'

/**
 * The runners of stage services, as the section "Stages" of the protocol page describes them: each works on one call at a
 * time, keeps a result until `handleMs` after the end of its call or until it is freed, and answers `gone` for an input that
 * exists no longer. `stages` are those of the route; `onItem` gets each item when its call's turn comes.
 */
export class StageRunners {
  /** Results by handle: the request, the stage, the piece, and until when they are kept. */
  results = new Map()
  nextHandle = 1

  constructor ({ stages, handleMs, callMs, itemMs, onItem }) {
    Object.assign(this, { stages, handleMs, callMs, itemMs, onItem })
    /** Calls of each runner work one after the other. */
    this.turns = new Map()
  }

  /** The answer function of a runner. */
  get answer () {
    return (request, socket, upstream) => {
      if (request.method === 'GET' && request.path === '/health') {
        return socket.write(`HTTP/1.1 200 OK\r\nX-Instance-Id: ${upstream.id}\r\nContent-Length: 0\r\n\r\n`)
      }
      if (request.path === '/-/report') return socket.write(buildJson(200, { queuedRequests: 0, busy: false, freeMb: 14 }))
      const body = request.body.length === 0 ? {} : JSON.parse(request.body.toString('utf8'))
      if (request.path === '/-/stage-free') {
        for (const handle of body.handles ?? []) this.results.delete(handle)
        return socket.write(buildJson(200, {}))
      }
      if (request.path !== '/-/stage-run') return socket.write('HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n')
      const { 'x-expected-instance': expected } = request.headers
      if (expected !== undefined && expected !== upstream.id) return socket.write('HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n')
      this.queue(body.items, socket, upstream)
    }
  }

  queue (items, socket, upstream) {
    const turn = this.turns.get(upstream.id) ?? { waiting: 0, end: Promise.resolve() }
    this.turns.set(upstream.id, turn)
    if (turn.waiting > 2) return socket.write('HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n')
    turn.waiting++
    turn.end = turn.end.then(async () => {
      // A close drops a call that waits.
      if (!socket.destroyed) await this.run(items, socket, upstream)
      turn.waiting--
    })
  }

  async run (items, socket, upstream) {
    const reasons = items.map(item => {
      this.onItem(item, upstream)
      const { after } = this.stages[item.stage]
      if (after.length === 0) return undefined
      if (!Array.isArray(item.inputs) || item.inputs.length === 0) return 'error'
      return item.inputs.every(handle => (this.results.get(handle)?.untilMs ?? 0) > performance.now()) ? undefined : 'gone'
    })
    await new Promise(resolve => { setTimeout(resolve, this.callMs + items.length * this.itemMs) })
    const untilMs = performance.now() + this.handleMs
    const answers = items.map(({ id, stage, piece }, i) => {
      if (reasons[i] !== undefined) return { reason: reasons[i] }
      const handle = `${upstream.address}/${(0x1000000 + this.nextHandle++).toString(16)}`
      this.results.set(handle, { id, stage, piece, untilMs })
      return { handle }
    })
    if (!socket.destroyed) socket.write(buildJson(200, { items: answers }))
  }
}

function buildJson (status, value) {
  const body = JSON.stringify(value)
  return `HTTP/1.1 ${status} Status\r\nContent-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`
}
