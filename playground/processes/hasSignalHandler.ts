import { readFileSync } from 'node:fs'

/** Whether a process handles a signal, by its number (Linux). */
export function hasSignalHandler (pid: number, signalNumber: number): boolean {
  const caught = /^SigCgt:\s*(\w+)$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? '0'
  return (BigInt(`0x${caught}`) >> BigInt(signalNumber - 1) & 1n) === 1n
}
