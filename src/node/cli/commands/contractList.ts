import { cliConstants } from '../constants.js'
import { clientOptions } from '../clientOptions.js'
import { createAdministrationClient } from '../createAdministrationClient.js'
import { formatTable } from '../formatTable.js'
import { jsonOption } from '../jsonOption.js'
import { resolveClient } from '../resolveClient.js'
import type { Command } from '../command.js'

/** `contract list`: lists the contracts of all accounts. */
export const contractList: Command = {
  usage: 'contract list',
  description: 'Lists the contracts of all accounts with their revisions and rate limits',
  options: [...clientOptions, jsonOption],
  example: 'contract list --server 192.0.2.7:7100',
  validate: context => resolveClient(context).faults,
  run: async context => {
    const { flags, dependencies } = context
    const found = await createAdministrationClient(context).listContracts()
    const revisions = found.filter(revision => revision.contract !== null).sort((a, b) => a.account < b.account ? -1 : 1)
    const rows = revisions.map(({ account, revision, contract }) =>
      [account, revision, contract!.requestsPerSecond, contract!.tokensPerSecond, Object.keys(contract!.kinds).join(' ')].map(String))
    const lines = flags.json === true ? [JSON.stringify(revisions, null, 2)] : formatTable(['account', 'revision', 'requests/s', 'tokens/s', 'kinds'], rows)
    for (const line of lines) dependencies.writeOutput(line)
    return cliConstants.exitStatus.success
  }
}
