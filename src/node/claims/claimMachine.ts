import { setup } from 'xstate'

/**
 * Lifecycle of a claim on the host that holds it. The call of an `expired` claim must no longer be sent; `closed`
 * means that an outcome has been stored. No state returns to `held`.
 */
export const claimMachine = setup({
  types: { events: {} as { readonly type: 'expire' | 'store' } }
}).createMachine({
  id: 'claim',
  initial: 'held',
  states: {
    held: { on: { expire: 'expired', store: 'closed' } },
    expired: { on: { store: 'closed' } },
    closed: { type: 'final' }
  }
})
