/**
 * Compares two contracts (null: no contract). Returns one line per differing field: `+ path: value`,
 * `- path: value` or `~ path: before -> after`. Stages are matched by name, not by position.
 */
export function compareContracts (before: object | null, after: object | null): readonly string[] {
  const oldFields = new Map(before === null ? [] : listFields('', before))
  const newFields = new Map(after === null ? [] : listFields('', after))
  const paths = [...new Set([...oldFields.keys(), ...newFields.keys()])]
  return paths.flatMap(path => {
    const [a, b] = [oldFields.get(path), newFields.get(path)]
    if (a === b) return []
    if (a === undefined) return `+ ${path}: ${b}`
    return b === undefined ? `- ${path}: ${a}` : `~ ${path}: ${a} -> ${b}`
  })
}

function listFields (path: string, value: unknown): ReadonlyArray<readonly [string, string]> {
  if (value === undefined) return []
  if (typeof value !== 'object' || value === null) return [[path, JSON.stringify(value)]]
  const isNamed = Array.isArray(value) && value.length > 0 && value.every(item => typeof item?.name === 'string')
  if (Array.isArray(value) && !isNamed) return [[path, JSON.stringify(value)]]
  const entries = isNamed
    ? (value as Array<{ name: string }>).map(({ name, ...rest }) => [`[${name}]`, rest] as const)
    : Object.entries(value).map(([key, item]) => [path === '' ? key : `.${key}`, item] as const)
  if (entries.length === 0) return [[path, '{}']]
  return entries.flatMap(([step, item]) => listFields(path + step, item))
}
