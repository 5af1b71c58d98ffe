/** Builds a copy of a text that was cut out of a longer one, which V8 would keep in memory with it. */
export function buildOwnText (text: string): string {
  return Buffer.from(text, 'utf8').toString('utf8')
}
