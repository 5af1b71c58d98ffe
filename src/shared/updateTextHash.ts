/** Continues a 32-bit FNV-1a hash with a text; `hashText` begins with the offset basis and adds an avalanche step. */
export function updateTextHash (hash: number, text: string): number {
  let next = hash
  for (let i = 0; i < text.length; i++) {
    next ^= text.charCodeAt(i)
    next = Math.imul(next, 0x01000193)
  }
  return next
}
