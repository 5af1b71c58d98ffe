import { soakConstants } from './constants.js'
import type { SoakRecords } from './soakRecords.js'

/** Checks that a stream has the events of its own request, each once and in order, and all of them when it ends as complete. */
export function checkStreams ({ requests }: SoakRecords): readonly string[] {
  return requests.flatMap(({ id, kind, status, answer = '', isComplete }) => {
    if (status !== 200 || (kind !== 'stream' && kind !== 'brittle' && kind !== 'pipe')) return []
    const events = answer.split('\n\n').filter(event => event !== '')
    // When a connection breaks, the last event may be incomplete.
    const completeEvents = answer.endsWith('\n\n') ? events : events.slice(0, -1)
    const wrongIndex = completeEvents.findIndex((event, i) => event !== `id: ${i + 1}\ndata: ${id}:${i + 1}`)
    if (wrongIndex >= 0) return [`ORDER: event ${wrongIndex + 1} of ${id} is ${JSON.stringify(completeEvents[wrongIndex])}`]
    return isComplete && completeEvents.length !== soakConstants.eventCount ? [`ORDER: ${id} ends as complete after ${completeEvents.length} of ${soakConstants.eventCount} events`] : []
  })
}
