import { setup } from 'xstate'

/** Lifecycle of a request on its owner. Individual tokens are not events of this machine. */
export const requestMachine = setup({
  types: {
    events: {} as { type: 'admit' } | { type: 'run' } | { type: 'stream' } | { type: 'finish' } | { type: 'fail' } | { type: 'cancel' }
  }
}).createMachine({
  id: 'request',
  initial: 'received',
  states: {
    received: { on: { admit: 'admitted', fail: 'failed', finish: 'finished', cancel: 'cancelled' } },
    admitted: { on: { run: 'running', stream: 'streaming', finish: 'finished', fail: 'failed', cancel: 'cancelled' } },
    running: { on: { stream: 'streaming', finish: 'finished', fail: 'failed', cancel: 'cancelled' } },
    streaming: { on: { finish: 'finished', fail: 'failed', cancel: 'cancelled' } },
    finished: { type: 'final' },
    failed: { type: 'final' },
    cancelled: { type: 'final' }
  }
})
