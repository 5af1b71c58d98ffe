import { getNextSnapshot } from 'xstate'
import type { EventFromLogic } from 'xstate'
import { requestMachine } from './requestMachine.js'

type RequestState = keyof typeof requestMachine.states & string
type RequestEvent = EventFromLogic<typeof requestMachine>['type']

const events: readonly RequestEvent[] = ['admit', 'run', 'stream', 'finish', 'fail', 'cancel']

/**
 * The transitions of the request machine by state and event. An actor per request took about a tenth of the time of a
 * plain call, and memory for as long as the answer was kept. A table is sufficient because the machine has no actions.
 */
export const requestTransitions: ReadonlyMap<string, ReadonlyMap<RequestEvent, RequestState>> = new Map(
  (Object.keys(requestMachine.states) as RequestState[]).map(state => {
    const snapshot = requestMachine.resolveState({ value: state })
    return [state, new Map(events.map(type => [type, getNextSnapshot(requestMachine, snapshot, { type }).value as RequestState]))]
  })
)
