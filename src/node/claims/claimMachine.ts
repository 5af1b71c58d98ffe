import { setup } from 'xstate'

/**
 * Life cycle of a claim at its holder. An `expired` claim must not be sent any more; `closed` means that an
 * outcome is stored. No state returns to `held`.
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
