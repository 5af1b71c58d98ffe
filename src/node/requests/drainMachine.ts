import { setup } from 'xstate'

/** States of a graceful shutdown. */
export const drainMachine = setup({
  types: { events: {} as { type: 'leave' } | { type: 'refuse' } | { type: 'stop' } }
}).createMachine({
  id: 'drain',
  initial: 'serving',
  states: {
    serving: { on: { leave: 'leaving' } },
    leaving: { on: { refuse: 'draining' } },
    draining: { on: { stop: 'stopped' } },
    stopped: { type: 'final' }
  }
})
