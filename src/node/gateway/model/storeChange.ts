import type { StoreItem } from './storeItem.js'

/** A change that a watch returned. */
export type StoreChange =
  | { readonly type: 'written', readonly item: StoreItem }
  | { readonly type: 'removed', readonly key: string, readonly revision: number }
