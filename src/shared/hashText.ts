import { computeHashAvalanche } from './computeHashAvalanche.js'
import { updateTextHash } from './updateTextHash.js'

/** 32-bit FNV-1a hash with a final avalanche step, for rendezvous hashing and partitioning. Not for security. */
export function hashText (text: string): number {
  return computeHashAvalanche(updateTextHash(0x811c9dc5, text))
}
