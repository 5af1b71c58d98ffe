import { ByteList } from '../../../shared/byteList.js'

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
  private readonly partialEvent = new ByteList()

  /** `lastEventId` is the id of the last event that the client has, on a resumed stream. */
  constructor (private readonly lastEventId?: string) {}

  addChunk (chunk: Buffer): SplitResult {
    const overlap = this.partialEvent.buildTail(endOverlapBytes)
    const end = findLastEventEnd(overlap.length === 0 ? chunk : Buffer.concat([overlap, chunk])) - overlap.length
    if (end <= 0) {
      this.partialEvent.add(chunk)
      return { events: noBytes }
    }
    const complete = chunk.subarray(0, end)
    const received = this.addPartial(complete)
    if (this.lastEventId !== undefined && listEvents(received).some(event => findLastId(event) === undefined)) {
      this.hasEventWithoutId = true
    }
    const events = this.removeKnownEvents(received)
    this.partialEvent.release()
    if (end < chunk.length) this.partialEvent.add(chunk.subarray(end))
    return { events, lastEventId: findLastId(events) }
  }

  /** Bytes of the event that is held back; 0 when there is none. */
  get partialEventBytes (): number {
    return this.partialEvent.byteLength
  }

  /** The incomplete event with the bytes that complete it. */
  private addPartial (complete: Buffer): Buffer {
    if (this.partialEventBytes === 0) return complete
    this.partialEvent.add(complete)
    return this.partialEvent.buildBuffer()
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
