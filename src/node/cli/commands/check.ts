import { buildUserSettings } from '../../settings/buildUserSettings.js'
import { cliConstants } from '../constants.js'
import { listUnknownVariables } from '../../settings/listUnknownVariables.js'
import { LycheetrackError } from '../../../shared/lycheetrackError.js'
import { readContractFile } from '../readContractFile.js'
import { resolveSettings } from '../../settings/resolveSettings.js'
import { settingOptions } from '../settingOptions.js'
import type { Command } from '../command.js'
import type { CommandContext } from '../commandContext.js'

/** `check`: validates settings and contract files without a server. */
export const check: Command = {
  usage: 'check [files...]',
  description: 'Checks contract files, and the settings of serve when any are given, without a server',
  options: settingOptions,
  example: 'check pier.json quay.json',
  validate: context => context.positional.length === 0 && !hasSettings(context) ? ['neither files nor settings are given'] : [],
  run: async context => {
    const faults = [...validateSettings(context), ...await readFaults(context)]
    for (const fault of faults) context.dependencies.writeError(`error: ${fault}`)
    return faults.length === 0 ? cliConstants.exitStatus.success : cliConstants.exitStatus.usage
  }
}

/** Whether any setting is given; without one, only contract files are checked. */
function hasSettings ({ flags, dependencies }: CommandContext): boolean {
  return Object.values(buildUserSettings(flags, dependencies.environment)).some(value => value !== undefined)
}

function validateSettings (context: CommandContext): readonly string[] {
  const { flags, dependencies } = context
  const unknown = listUnknownVariables(dependencies.environment).map(name => `${name} is not a known setting`)
  if (!hasSettings(context)) return unknown
  try {
    resolveSettings(buildUserSettings(flags, dependencies.environment))
  } catch (error) {
    if (error instanceof LycheetrackError) return [...unknown, ...error.message.split('\n')]
    throw error
  }
  if (unknown.length === 0) dependencies.writeOutput('settings: valid')
  return unknown
}

async function readFaults ({ positional, dependencies }: CommandContext): Promise<readonly string[]> {
  const faults: string[] = []
  for (const path of positional) {
    try {
      const contracts = await readContractFile(path, dependencies)
      dependencies.writeOutput(`${path}: ${contracts.length} valid (${contracts.map(contract => contract.account).join(', ')})`)
    } catch (error) {
      if (!(error instanceof LycheetrackError)) throw error
      faults.push(...error.message.split('\n'))
    }
  }
  return faults
}
