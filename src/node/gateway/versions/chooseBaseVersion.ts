/** The version of most upstreams of a service, the first by name among equals; undefined without upstreams. */
export function chooseBaseVersion (versions: readonly string[]): string | undefined {
  const counts = new Map<string, number>()
  for (const version of versions) counts.set(version, (counts.get(version) ?? 0) + 1)
  return [...counts].sort(([a, countA], [b, countB]) => countB - countA || (a < b ? -1 : 1))[0]?.[0]
}
