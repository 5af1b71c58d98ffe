interface SplitResult {
  /** Complete events, ready to forward; empty when there are none yet. */
  readonly events: Buffer
  readonly lastEventId?: string
}

const lineFeed = 0x0a
const carriageReturn = 0x0d
const idLine = /(?:^|\n)id: ?([^\r\n]*)/g

/** Splits a stream of server-sent events into complete events and holds back an incomplete one. */
export class EventSplitter {
  private partialEvent: Buffer = Buffer.alloc(0)

  /** `lastEventId` is the id of the last event that the client has, on a resumed stream. */
  constructor (private readonly lastEventId?: string) {}

  addChunk (chunk: Buffer): SplitResult {
    const data = this.partialEvent.length === 0 ? chunk : Buffer.concat([this.partialEvent, chunk])
    const end = findLastEventEnd(data)
    this.partialEvent = data.subarray(end)
    const events = this.removeKnownEvents(data.subarray(0, end))
    return { events, lastEventId: findLastId(events) }
  }

  /** Whether part of an event is held back. */
  hasPartialEvent (): boolean {
    return this.partialEvent.length > 0
  }

  /** Drops events that the client already has: a resumed stream may begin with them. */
  private removeKnownEvents (events: Buffer): Buffer {
    const known = Number(this.lastEventId)
    if (this.lastEventId === undefined || !Number.isFinite(known) || events.length === 0) return events
    const kept = events.toString('latin1').split(/(?<=\n\r?\n)/).filter(event => !(Number(findLastId(Buffer.from(event, 'latin1'))) <= known))
    return Buffer.from(kept.join(''), 'latin1')
  }
}

/** Index after the last blank line. */
function findLastEventEnd (data: Buffer): number {
  for (let i = data.length - 1; i > 0; i--) {
    if (data[i] !== lineFeed) continue
    const previous = data[i - 1] === carriageReturn ? i - 2 : i - 1
    if (data[previous] === lineFeed) return i + 1
  }
  return 0
}

function findLastId (events: Buffer): string | undefined {
  let id: string | undefined
  for (const match of events.toString('latin1').matchAll(idLine)) id = match[1]
  return id
}
