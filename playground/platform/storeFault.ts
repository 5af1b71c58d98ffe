/**
 * Fault of the store stand-in. `reset` closes the connection of each call, `silent` never answers, `busy` answers 503,
 * `many` answers 429, and `lost` applies changes without answering.
 */
export type StoreFault = 'none' | 'reset' | 'silent' | 'busy' | 'many' | 'lost'
