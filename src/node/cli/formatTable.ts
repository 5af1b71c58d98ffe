/** Formats a text table; columns whose cells are all numbers are right-aligned. */
export function formatTable (header: readonly string[], rows: ReadonlyArray<readonly string[]>): readonly string[] {
  const widths = header.map((title, i) => Math.max(title.length, ...rows.map(row => row[i]!.length)))
  const isNumeric = header.map((_, i) => rows.length > 0 && rows.every(row => /^[-\d.,%x]+$/.test(row[i]!)))
  const formatRow = (row: readonly string[]) => row
    .map((cell, i) => isNumeric[i] ? cell.padStart(widths[i]!) : cell.padEnd(widths[i]!))
    .join('  ')
    .trimEnd()
  return [header, ...rows].map(formatRow)
}
