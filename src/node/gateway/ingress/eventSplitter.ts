interface SplitResult {
  /** Complete events, ready to forward; empty when there are none yet. */
  readonly events: Buffer
  readonly lastEventId?: string
}

const lineFeed = 0x0a
const carriageReturn = 0x0d
/** Bytes before a chunk that can belong to the blank line that ends in it: a line feed and a carriage return. */
const endOverlapBytes = 2
const noBytes = Buffer.alloc(0)
const idLine = /(?:^|\n)id: ?([^\r\n]*)/g

/**
 * Splits a stream of server-sent events into complete events and holds back an incomplete one. Each chunk is searched
 * once, however long the incomplete event has become: an upstream may send bytes without an end.
 */
export class EventSplitter {
  /** Whether an event of a resumed stream had no id, so that its place is unknown. */
  hasEventWithoutId = false
  private readonly partialEvent: Buffer[] = []
  private partialSize = 0

  /** `lastEventId` is the id of the last event that the client has, on a resumed stream. */
  constructor (private readonly lastEventId?: string) {}

  addChunk (chunk: Buffer): SplitResult {
    const overlap = this.findOverlap()
    const end = findLastEventEnd(overlap.length === 0 ? chunk : Buffer.concat([overlap, chunk])) - overlap.length
    if (end <= 0) {
      this.addPartial(chunk)
      return { events: noBytes }
    }
    const complete = chunk.subarray(0, end)
    const received = this.partialSize === 0 ? complete : Buffer.concat([...this.partialEvent, complete])
    if (this.lastEventId !== undefined && listEvents(received).some(event => findLastId(event) === undefined)) {
      this.hasEventWithoutId = true
    }
    const events = this.removeKnownEvents(received)
    this.partialEvent.length = 0
    this.partialSize = 0
    if (end < chunk.length) this.addPartial(chunk.subarray(end))
    return { events, lastEventId: findLastId(events) }
  }

  /** Bytes of the event that is held back; 0 when there is none. */
  get partialEventBytes (): number {
    return this.partialSize
  }

  private addPartial (bytes: Buffer): void {
    this.partialEvent.push(bytes)
    this.partialSize += bytes.length
  }

  /** The last bytes of the incomplete event. */
  private findOverlap (): Buffer {
    let overlap: Buffer = noBytes
    for (let i = this.partialEvent.length - 1; i >= 0 && overlap.length < endOverlapBytes; i--) {
      const bytes = this.partialEvent[i]!
      overlap = Buffer.concat([bytes.subarray(Math.max(bytes.length - endOverlapBytes + overlap.length, 0)), overlap])
    }
    return overlap
  }

  /** Drops events that the client already has: a resumed stream may begin with them. */
  private removeKnownEvents (events: Buffer): Buffer {
    const known = Number(this.lastEventId)
    if (this.lastEventId === undefined || !Number.isFinite(known) || events.length === 0) return events
    return Buffer.concat(listEvents(events).filter(event => !(Number(findLastId(event)) <= known)))
  }
}

/** Index after the last blank line; 0 when there is none. */
function findLastEventEnd (data: Buffer): number {
  for (let i = data.lastIndexOf(lineFeed); i > 0; i = data.lastIndexOf(lineFeed, i - 1)) {
    const previous = data[i - 1] === carriageReturn ? i - 2 : i - 1
    if (previous >= 0 && data[previous] === lineFeed) return i + 1
  }
  return 0
}

function listEvents (events: Buffer): readonly Buffer[] {
  return events.toString('latin1').split(/(?<=\n\r?\n)/).map(event => Buffer.from(event, 'latin1'))
}

function findLastId (events: Buffer): string | undefined {
  let id: string | undefined
  for (const match of events.toString('latin1').matchAll(idLine)) id = match[1]
  return id
}
