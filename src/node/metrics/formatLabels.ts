const escapes: Readonly<Record<string, string>> = { '\\': '\\\\', '"': '\\"', '\n': '\\n' }

/** Formats labels as Prometheus text, sorted by name: `{kind="signal-query"}`; empty without labels. */
export function formatLabels (labels: Readonly<Record<string, string>>): string {
  const names = Object.keys(labels)
  if (names.length === 0) return ''
  const pairs = names.sort().map(name => `${name}="${String(labels[name]).replace(/[\\"\n]/g, character => escapes[character]!)}"`)
  return `{${pairs.join(',')}}`
}
