import { ClientConnection, sendOnce } from './client.mjs'
import { parseEvents } from './modelRunner.mjs'
import { setTimeout as delay } from 'node:timers/promises'

/** Headers of requests to model runners, with a prompt of two parts of this stream's own subject. */
export function buildPromptHeaders (id) {
  const part = Buffer.from(id).toString('hex')
  return { 'X-Model': 'm', 'X-Token-Counts': '1000,400', 'X-Prompt-Prefix': `5c1e${part}:800,91bd${part}:200` }
}

/** Lists the software versions of events, in their order, with the runner; runs of the same one are written once. */
export function describeMakers (events) {
  const makers = events.map(({ version, runner }) => `${version}@${runner}`)
  return makers.filter((maker, i) => maker !== makers[i - 1]).join(' ') || '-'
}

/**
 * A client's stream over its tries. The client takes a stream up with `Last-Event-Id` and with the id of the try that
 * brought the first event in `Resumes`, waits as long as `Retry-After` says, and gives up at its deadline.
 */
export class ClientStream {
  events = []
  tries = []
  isComplete = false

  constructor ({ deployment, id, path, timeLeftMs }) {
    Object.assign(this, { deployment, id, path })
    this.deadlineAtMs = performance.now() + timeLeftMs
  }

  get versions () {
    return [...new Set(this.events.map(({ version }) => version))]
  }

  /** Sends the first try; `gapMs` is the gap between events after which the client gives the connection up. */
  async begin (address, gapMs) {
    const connection = new ClientConnection(address)
    this.connection = connection
    let seen = -1
    let changedAtMs = performance.now()
    const watch = setInterval(() => {
      if (connection.received.length !== seen) {
        seen = connection.received.length
        changedAtMs = performance.now()
      } else if (performance.now() - changedAtMs > gapMs) connection.close()
    }, 50)
    const answer = await connection.request(this.id, this.path, { timeLeftMs: this.timeLeftMs, headers: buildPromptHeaders(this.id) })
    clearInterval(watch)
    this.add(this.id, answer)
    connection.close()
  }

  /** Takes the stream up until it is whole or the deadline has come. */
  async takeUp (address) {
    for (let number = 1; !this.isComplete && this.timeLeftMs > 500; number++) {
      const id = `${this.id}-again-${number}`
      const last = this.events.at(-1)?.id
      const headers = { ...buildPromptHeaders(this.id), ...last === undefined ? {} : { Resumes: this.firstId, 'Last-Event-Id': String(last) } }
      const answer = await sendOnce(address, id, this.path, { timeLeftMs: this.timeLeftMs, headers })
      const count = this.add(id, answer)
      if (count > 0 || this.isComplete) continue
      await delay(Math.max(Number(answer.headers?.['retry-after'] ?? 0) * 1000, 100))
    }
  }

  get timeLeftMs () {
    return Math.max(Math.floor(this.deadlineAtMs - performance.now()), 1)
  }

  add (id, answer) {
    const events = parseEvents(answer.body)
    if (events.length > 0) this.firstId ??= id
    this.events.push(...events)
    this.isComplete = answer.status === 200 && answer.isComplete
    const end = this.isComplete ? 'whole' : 'not whole'
    const range = events.length === 0 ? 'no events' : `events ${events[0].id} to ${events.at(-1).id} of ${describeMakers(events)}`
    this.deployment.record(`client: ${id} gets ${answer.status <= 0 ? 'no answer' : answer.status}, ${range}, ${end}`)
    return events.length
  }
}
