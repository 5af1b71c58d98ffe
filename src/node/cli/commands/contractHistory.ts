import { cliConstants } from '../constants.js'
import { clientOptions } from '../clientOptions.js'
import { compareContracts } from '../compareContracts.js'
import { createAdministrationClient } from '../createAdministrationClient.js'
import { formatRevision } from '../formatRevision.js'
import { jsonOption } from '../jsonOption.js'
import { resolveClient } from '../resolveClient.js'
import type { Command } from '../command.js'

/** `contract history`: lists the last revisions of one account. */
export const contractHistory: Command = {
  usage: 'contract history <account>',
  description: 'Lists the last revisions of a contract with what each one changed',
  options: [...clientOptions, jsonOption],
  example: 'contract history pier --server 192.0.2.7:7100',
  validate: context => resolveClient(context).faults,
  run: async context => {
    const { positional, flags, dependencies } = context
    const found = await createAdministrationClient(context).listHistory(positional[0]!)
    const revisions = [...found].sort((a, b) => a.revision - b.revision)
    if (flags.json === true) {
      dependencies.writeOutput(JSON.stringify(revisions, null, 2))
      return cliConstants.exitStatus.success
    }
    for (const [i, revision] of revisions.entries()) {
      dependencies.writeOutput(formatRevision(revision))
      // The predecessor of the oldest revision that the server kept is unknown, unless that revision is the first one.
      if (i === 0 && revision.revision > 1) continue
      for (const line of compareContracts(revisions[i - 1]?.contract ?? null, revision.contract)) dependencies.writeOutput(`  ${line}`)
    }
    return cliConstants.exitStatus.success
  }
}
