import { readFileSync } from 'node:fs'

/** Reads how many file descriptors the process may have open; undefined where the system does not tell or sets no limit. */
export function readDescriptorLimit (path = '/proc/self/limits'): number | undefined {
  try {
    const [, limit] = /^Max open files\s+(\d+)/m.exec(readFileSync(path, 'utf8')) ?? []
    return limit === undefined ? undefined : Number(limit)
  } catch {
    return undefined
  }
}
