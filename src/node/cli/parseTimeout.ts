/** Parses a flag in milliseconds. Returns the fallback without a value, and undefined if the value is not a whole number. */
export function parseTimeout (value: string | boolean | undefined, fallbackMs: number): number | undefined {
  if (value === undefined) return fallbackMs
  return /^\d{1,9}$/.test(String(value)) ? Number(value) : undefined
}
