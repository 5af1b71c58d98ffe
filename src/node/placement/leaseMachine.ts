import { setup } from 'xstate'

/**
 * State machine of the placement lease at one host. A host that has just acquired the lease is `settling`
 * and sends no orders, because orders of its predecessor may still take effect.
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
