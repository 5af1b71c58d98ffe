/** State of a link: `silent-to-target` and `silent-from-target` lose the bytes of one direction only. */
export type LinkFault = 'none' | 'delay' | 'silent' | 'silent-to-target' | 'silent-from-target' | 'reset'
