import { createCommandLineDependencies } from './createCommandLineDependencies.js'
import { createEntryHost } from '../app/createEntryHost.js'
import { createGatewayHost } from '../app/createGatewayHost.js'
import { parseContract } from '../contracts/parseContract.js'
import { runCommandLine } from './runCommandLine.js'
import type { HostSignals } from './hostSignals.js'

/** Runs the command that the process was started with; resolves with its exit status. `signals` is present for hosts. */
export async function runProgram (signals?: HostSignals): Promise<number> {
  const dependencies = createCommandLineDependencies({
    startEntryHost: createEntryHost,
    startGatewayHost: createGatewayHost,
    parseContract
  }, signals)
  return await runCommandLine(process.argv, dependencies)
}
