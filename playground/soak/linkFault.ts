/** State of a link: `silent-forth` and `silent-back` lose the bytes of one direction only. */
export type LinkFault = 'none' | 'delay' | 'silent' | 'silent-forth' | 'silent-back' | 'reset'
