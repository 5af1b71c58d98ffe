import { execFile } from 'node:child_process'
import { promisify } from 'node:util'

const program = `
process.on('SIGHUP', () => {})
console.log(require('fs').readFileSync('/proc/self/schedstat', 'utf8'))
`

/** Reads the processor time, in ms, after which a process of this Node.js can handle its first signal. */
export async function readRuntimeStartMs (): Promise<number> {
  const { stdout } = await promisify(execFile)('env', ['-u', 'NODE_OPTIONS', process.execPath, '-e', program])
  return Number(stdout.split(' ')[0]) / 1e6
}
