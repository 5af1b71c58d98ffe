/** Combines the 32-bit hashes of two texts into one; much cheaper than hashing the concatenated texts. */
export function hashPair (a: number, b: number): number {
  let mixed = Math.imul(a ^ (b >>> 16), 0x85ebca6b) ^ Math.imul(b, 0xc2b2ae35)
  mixed = Math.imul(mixed ^ (mixed >>> 15), 0x2c1b3c6d)
  mixed = Math.imul(mixed ^ (mixed >>> 12), 0x297a2d39)
  return (mixed ^ (mixed >>> 15)) >>> 0
}
