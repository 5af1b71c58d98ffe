import { readFileSync } from 'node:fs'

/** Reads how many file descriptors the system allows this process; undefined where the system does not tell. */
export function readDescriptorLimit (path = '/proc/self/limits'): number | undefined {
  try {
    const limit = /^Max open files\s+(\d+)/m.exec(readFileSync(path, 'utf8'))?.[1]
    return limit === undefined ? undefined : Number(limit)
  } catch {
    // Not Linux, or no access: the limit of the settings applies alone.
    return undefined
  }
}
