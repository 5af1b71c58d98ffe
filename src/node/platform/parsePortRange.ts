/** Reads the lowest and the highest port from a list, a number or a text such as `7740-7755`; returns any other value as it is. */
export function parsePortRange (value: unknown): unknown {
  const parts = Array.isArray(value) ? value : typeof value === 'string' ? value.match(/\d+/g) ?? [] : [value]
  const ports = parts.map(part => typeof part === 'string' ? Number(part) : part as unknown)
  if (ports.length === 0 || !ports.every(port => typeof port === 'number')) return value
  return [Math.min(...ports), Math.max(...ports)]
}
