/** Last step of `hashText`: spreads the bits of a 32-bit hash. */
export function computeHashAvalanche (hash: number): number {
  let next = hash
  next ^= next >>> 16
  next = Math.imul(next, 0x85ebca6b)
  next ^= next >>> 13
  next = Math.imul(next, 0xc2b2ae35)
  next ^= next >>> 16
  return next >>> 0
}
