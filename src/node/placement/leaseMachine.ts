import { setup } from 'xstate'

/**
 * Life cycle of the placement lease at one host. A holder that has just acquired the lease is `settling`:
 * orders of its predecessor may still take effect, so it sends none itself.
 */
export const leaseMachine = setup({
  types: { events: {} as { readonly type: 'acquire' | 'settle' | 'lose' } }
}).createMachine({
  id: 'placementLease',
  initial: 'follower',
  states: {
    follower: { on: { acquire: 'settling' } },
    settling: { on: { settle: 'holder', lose: 'follower' } },
    holder: { on: { lose: 'follower' } }
  }
})
