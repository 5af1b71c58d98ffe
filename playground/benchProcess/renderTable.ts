/** Renders rows as a table of plain text; the first row is the heading, the first column is left-aligned. */
export function renderTable (rows: readonly (readonly string[])[]): string {
  const widths = (rows[0] ?? []).map((_, column) => Math.max(...rows.map(row => row[column]?.length ?? 0)))
  return rows
    .map(row => row.map((cell, column) => column === 0 ? cell.padEnd(widths[column] ?? 0) : cell.padStart(widths[column] ?? 0)).join('  ').trimEnd() + '\n')
    .join('')
}
