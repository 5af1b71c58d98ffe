import { cliConstants } from '../constants.js'
import { clientOptions } from '../clientOptions.js'
import { compareContracts } from '../compareContracts.js'
import { createAdministrationClient } from '../createAdministrationClient.js'
import { readContractFile } from '../readContractFile.js'
import { resolveClient } from '../resolveClient.js'
import type { Command } from '../command.js'

/** `contract diff`: prints what `contract apply` would change. */
export const contractDiff: Command = {
  usage: 'contract diff <file>',
  description: 'Shows field by field what applying a file would change',
  options: clientOptions,
  example: 'contract diff pier.json --server 192.0.2.7:7100',
  validate: context => resolveClient(context).faults,
  run: async context => {
    const { positional, dependencies } = context
    const contracts = await readContractFile(positional[0]!, dependencies)
    const client = createAdministrationClient(context)
    for (const contract of contracts) {
      const before = await client.findContract(contract.account)
      const lines = compareContracts(before?.contract ?? null, contract)
      const state = before?.contract == null ? 'new contract' : `${lines.length === 0 ? 'no' : lines.length} differences from revision ${before.revision}`
      dependencies.writeOutput(`${contract.account}: ${state}`)
      for (const line of lines) dependencies.writeOutput(`  ${line}`)
    }
    return cliConstants.exitStatus.success
  }
}
