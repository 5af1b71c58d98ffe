import { fork } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { runCallers } from './runCallers.js'
import { runEngine } from './runEngine.js'
import { runHost } from './runHost.js'

// The program starts its engine and caller processes as copies of itself, whose first argument is their role.
// Arguments: streams, tokens per stream, interval between the tokens of a stream in milliseconds.
const [role = '800', ...rest] = process.argv.slice(2)
const numbers = rest.map(Number)

if (role === 'engine') runEngine(numbers[0]!, numbers[1]!, numbers[2]!)
else if (role === 'callers') runCallers(numbers[0]!, numbers[1]!, numbers[2]!)
else {
  const startChild = (...args: ReadonlyArray<string | number>): ChildProcess => fork(process.argv[1]!, args.map(String))
  runHost({ streams: Number(role), tokensPerStream: numbers[0] ?? 200, intervalMs: numbers[1] ?? 26, startChild })
    .then(line => {
      console.log(line)
      process.exit(0)
    })
    .catch(error => {
      console.error(error)
      process.exit(1)
    })
}
