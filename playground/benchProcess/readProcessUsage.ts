import { readFileSync } from 'node:fs'
import { benchConstants } from './constants.js'
import type { ProcessUsage } from './processUsage.js'

/** Positions of the user and the system time among the fields after the process name. */
const utimeField = 11
const stimeField = 12

/** Reads the CPU time (user and system) and the resident memory of a process from /proc. */
export function readProcessUsage (pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
  // The name in parentheses may hold spaces, so the fields are counted from its end.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const resident = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]
  return {
    processorMs: (Number(fields[utimeField]) + Number(fields[stimeField])) * benchConstants.cpuTickMs,
    residentBytes: Number(resident) * 1024
  }
}
