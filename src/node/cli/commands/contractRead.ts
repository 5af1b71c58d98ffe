import { cliConstants } from '../constants.js'
import { clientOptions } from '../clientOptions.js'
import { createAdministrationClient } from '../createAdministrationClient.js'
import { resolveClient } from '../resolveClient.js'
import type { Command } from '../command.js'

/** `contract read`: prints the contract of one account. */
export const contractRead: Command = {
  usage: 'contract read <account>',
  description: 'Prints the contract of an account as JSON, ready to be edited and applied',
  options: clientOptions,
  example: 'contract read pier --server 192.0.2.7:7100 > pier.json',
  validate: context => resolveClient(context).faults,
  run: async context => {
    const { positional, dependencies } = context
    const found = await createAdministrationClient(context).findContract(positional[0]!)
    if (found === undefined || found.contract === null) {
      dependencies.writeError(`error: account ${positional[0]} has no contract`)
      return cliConstants.exitStatus.failure
    }
    dependencies.writeOutput(JSON.stringify(found.contract, null, 2))
    // Standard output holds only the contract, so that it can be redirected to a file.
    dependencies.writeError(`revision ${found.revision}`)
    return cliConstants.exitStatus.success
  }
}
