import { soakConstants } from './constants.js'
import type { SoakRecords } from './soakRecords.js'

/** Events come in order, once, from the request's own run; a stream that ends as complete has all of them. */
export function checkStreams ({ requests }: SoakRecords): readonly string[] {
  return requests.flatMap(({ id, kind, status, answer = '', isComplete }) => {
    if (status !== 200 || (kind !== 'stream' && kind !== 'brittle' && kind !== 'pipe')) return []
    const events = answer.split('\n\n').filter(event => event !== '')
    // The last event of a stream that was cut may be partial.
    const completeEvents = answer.endsWith('\n\n') ? events : events.slice(0, -1)
    const wrongIndex = completeEvents.findIndex((event, i) => event !== `id: ${i + 1}\ndata: ${id}:${i + 1}`)
    if (wrongIndex >= 0) return [`ORDER: event ${wrongIndex + 1} of ${id} is ${JSON.stringify(completeEvents[wrongIndex])}`]
    return isComplete && completeEvents.length !== soakConstants.eventCount ? [`ORDER: ${id} ends as complete after ${completeEvents.length} events`] : []
  })
}
