import { cliConstants } from '../constants.js'
import { clientOptions } from '../clientOptions.js'
import { compareContracts } from '../compareContracts.js'
import { createAdministrationClient } from '../createAdministrationClient.js'
import { formatRevision } from '../formatRevision.js'
import { jsonOption } from '../jsonOption.js'
import { resolveClient } from '../resolveClient.js'
import { ServerUnreachableError } from '../serverUnreachableError.js'
import type { Command } from '../command.js'
import type { CommandContext } from '../commandContext.js'
import type { ContractRevision } from '../../../types/contractRevision.js'

/** `contract watch`: prints accepted changes as they happen. */
export const contractWatch: Command = {
  usage: 'contract watch',
  description: 'Prints each accepted change with its fields until it is interrupted',
  options: [...clientOptions, jsonOption],
  example: 'contract watch --server 192.0.2.7:7100',
  validate: context => resolveClient(context).faults,
  run: async context => {
    const { dependencies } = context
    const interruption = new AbortController()
    const removeListener = dependencies.onSignal(() => interruption.abort())
    try {
      await watchChanges(context, interruption.signal)
    } finally {
      removeListener()
    }
    return cliConstants.exitStatus.success
  }
}

/** Reopens the watch when it breaks; changes made in the meantime are printed as one difference from the last revision seen. */
async function watchChanges (context: CommandContext, signal: AbortSignal): Promise<void> {
  const { dependencies } = context
  const client = createAdministrationClient(context)
  const known = new Map((await client.listContracts()).map(revision => [revision.account, revision]))
  let failures = 0
  while (!signal.aborted) {
    try {
      const missed = failures > 0 ? await client.listContracts() : []
      for (const revision of missed) recordChange(revision, known, context)
      failures = 0
      for await (const revision of client.watchContracts(signal)) recordChange(revision, known, context)
    } catch (error) {
      if (signal.aborted) return
      if (!(error instanceof ServerUnreachableError)) throw error
      // A stream that breaks or stays silent is reopened without a warning; a second failure in a row means that the server is unreachable.
      if (failures === 1) dependencies.writeError(`warning: ${error.message}; retrying`)
    }
    failures++
    await dependencies.wait(cliConstants.watchReopenDelayMs)
  }
}

function recordChange (revision: ContractRevision, known: Map<string, ContractRevision>, { flags, dependencies }: CommandContext): void {
  const before = known.get(revision.account)
  if (before !== undefined && before.revision >= revision.revision) return
  known.set(revision.account, revision)
  if (flags.json === true) return dependencies.writeOutput(JSON.stringify(revision))
  dependencies.writeOutput(formatRevision(revision))
  for (const line of compareContracts(before?.contract ?? null, revision.contract)) dependencies.writeOutput(`  ${line}`)
}
