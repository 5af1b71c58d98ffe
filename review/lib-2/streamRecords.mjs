import { ClientConnection } from './client.mjs'
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

/** How often a client takes a stream up. */
const maxRetries = 3

/**
 * A client's stream over its tries. The client abandons a try after a gap of `gapMs`, and then takes the stream up on a new
 * connection, with `Last-Event-Id` and with the id of the try that brought the first event in `Resumes`, a few times within
 * its deadline. It waits as long as `Retry-After` says, up to a third of the time that it has left.
 */
export class ClientStream {
  events = []
  isComplete = false

  constructor ({ deployment, id, path, timeLeftMs, gapMs }) {
    Object.assign(this, { deployment, id, path, gapMs })
    this.deadlineAtMs = performance.now() + timeLeftMs
  }

  get versions () {
    return [...new Set(this.events.map(({ version }) => version))]
  }

  get timeLeftMs () {
    return Math.max(Math.floor(this.deadlineAtMs - performance.now()), 1)
  }

  /** Runs the stream at the addresses that `pick` chooses; `pick` gets the addresses that have failed this client. */
  async run (pick) {
    const failed = new Set()
    for (let number = 0; number <= maxRetries && this.timeLeftMs > 500; number++) {
      const address = await pick(failed)
      const { status, headers, count } = await this.send(address, number === 0 ? this.id : `${this.id}-again-${number}`)
      if (this.isComplete) return
      if (status <= 0) failed.add(address)
      const retryAfterMs = Number(headers?.['retry-after'] ?? 0) * 1000
      await delay(count > 0 ? 0 : Math.min(Math.max(retryAfterMs, 100), this.timeLeftMs / 3))
    }
  }

  /** Breaks the present connection off. */
  breakOff () {
    this.connection?.close()
  }

  async send (address, id) {
    const connection = new ClientConnection(address)
    this.connection = connection
    let seen = -1
    let changedAtMs = performance.now()
    const watch = setInterval(() => {
      if (connection.received.length !== seen) {
        seen = connection.received.length
        changedAtMs = performance.now()
      } else if (performance.now() - changedAtMs > this.gapMs) connection.close()
    }, 50)
    const last = this.events.at(-1)?.id
    const headers = { ...buildPromptHeaders(this.id), ...last === undefined ? {} : { Resumes: this.firstId, 'Last-Event-Id': String(last) } }
    const answer = await connection.request(id, this.path, { timeLeftMs: this.timeLeftMs, headers })
    clearInterval(watch)
    connection.close()
    const events = parseEvents(answer.body)
    if (events.length > 0) this.firstId ??= id
    this.events.push(...events)
    this.isComplete = answer.status === 200 && answer.isComplete
    const end = this.isComplete ? 'whole' : 'not whole'
    const range = events.length === 0 ? 'no events' : `events ${events[0].id} to ${events.at(-1).id} of ${describeMakers(events)}`
    this.deployment.record(`client: ${id} gets ${answer.status <= 0 ? 'no answer' : answer.status}, ${range}, ${end}`)
    return { status: answer.status, headers: answer.headers, count: events.length }
  }
}
