/** A duration flag in milliseconds, or the fallback; undefined when it is no whole number. */
export function parseTimeout (value: string | boolean | undefined, fallbackMs: number): number | undefined {
  if (value === undefined) return fallbackMs
  return /^\d{1,9}$/.test(String(value)) ? Number(value) : undefined
}
