import { cliConstants } from '../constants.js'
import { clientOptions } from '../clientOptions.js'
import { createAdministrationClient } from '../createAdministrationClient.js'
import { formatTable } from '../formatTable.js'
import { jsonOption } from '../jsonOption.js'
import { resolveClient } from '../resolveClient.js'
import type { Command } from '../command.js'

/** `contract status`: prints on how many hosts the newest revision is in force. */
export const contractStatus: Command = {
  usage: 'contract status <account>',
  description: 'Shows on how many live hosts the newest revision of a contract is in force',
  options: [...clientOptions, jsonOption],
  example: 'contract status pier --server 192.0.2.7:7100',
  validate: context => resolveClient(context).faults,
  run: async context => {
    const { positional, flags, dependencies } = context
    const status = await createAdministrationClient(context).readStatus(positional[0]!)
    if (flags.json === true) {
      dependencies.writeOutput(JSON.stringify(status, null, 2))
      return cliConstants.exitStatus.success
    }
    dependencies.writeOutput(`${positional[0]}: revision ${status.accepted} in force on ${status.inForce} of ${status.hosts} hosts`)
    const columns = [...new Set(status.perHost.flatMap(host => Object.keys(host)))]
    const rows = status.perHost.map(host => columns.map(column => String(host[column] ?? '-')))
    if (rows.length > 0) for (const line of formatTable(columns, rows)) dependencies.writeOutput(line)
    return cliConstants.exitStatus.success
  }
}
