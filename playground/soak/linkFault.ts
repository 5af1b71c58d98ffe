/**
 * Fault of a network link. `silent` drops the bytes of both directions while the connections stay open,
 * `silent-to-target` and `silent-from-target` those of one direction.
 */
export type LinkFault = 'none' | 'delay' | 'silent' | 'silent-to-target' | 'silent-from-target' | 'reset'
