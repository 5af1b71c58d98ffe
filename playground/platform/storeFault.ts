/** Ways in which the store stand-in fails: `lost` makes changes without answering. */
export type StoreFault = 'none' | 'reset' | 'silent' | 'busy' | 'many' | 'lost'
