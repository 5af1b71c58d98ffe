import { listStreamEvents } from './listStreamEvents.js'
import { soakConstants } from './constants.js'
import type { SoakRecords } from './soakRecords.js'

/**
 * Checks that a stream has the events of its own request, each once, in order and of one software version, and all of
 * them when it ends as complete. The events of a resumed stream follow the last one that the client had.
 */
export function checkStreams ({ requests }: SoakRecords): readonly string[] {
  return requests.flatMap(({ id, kind, status, answer = '', isComplete, lastEventId = 0 }) => {
    if (status !== 200 || (kind !== 'stream' && kind !== 'brittle' && kind !== 'pipe')) return []
    const events = listStreamEvents(answer)
    const version = events[0]?.version
    const wrongIndex = events.findIndex(({ text }, i) => {
      const eventId = lastEventId + i + 1
      return text !== `id: ${eventId}\ndata: ${id}:${eventId}:${version}`
    })
    if (wrongIndex >= 0) return [`ORDER: event ${wrongIndex + 1} of ${id} is ${JSON.stringify(events[wrongIndex]!.text)}`]
    const count = lastEventId + events.length
    return isComplete && count !== soakConstants.eventCount
      ? [`ORDER: ${id} ends as complete after ${count} of ${soakConstants.eventCount} events`]
      : []
  })
}
