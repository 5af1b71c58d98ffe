import { buildUserSettings } from '../../settings/buildUserSettings.js'
import { cliConstants } from '../constants.js'
import { listUnknownVariables } from '../../settings/listUnknownVariables.js'
import { resolveSettings } from '../../settings/resolveSettings.js'
import { SettingsError } from '../../settings/settingsError.js'
import { settingOptions } from '../settingOptions.js'
import type { Command } from '../command.js'
import type { CommandLineDependencies } from '../commandLineDependencies.js'
import type { ResolvedSettings } from '../../settings/resolvedSettings.js'

/** `serve`: runs an entry host until it is drained. */
export const serve: Command = {
  usage: 'serve',
  description: 'Runs an entry host; SIGTERM or SIGINT drains it, a second signal stops it at once. Each flag is also a variable: --host-id is LYCHEETRACK_HOST_ID',
  options: settingOptions,
  example: 'serve --host-id host-1 --failure-domain quay-a --listen 192.0.2.7:7100 --peer-listen 192.0.2.7:7200 --key-value-url http://192.0.2.20:7300 --host-list-url http://192.0.2.20:7301',
  validate: ({ flags, dependencies }) => {
    try {
      resolveSettings(buildUserSettings(flags, dependencies.environment))
      return []
    } catch (error) {
      if (error instanceof SettingsError) return error.message.split('\n')
      throw error
    }
  },
  run: async ({ flags, dependencies }) => {
    for (const name of listUnknownVariables(dependencies.environment)) dependencies.writeError(`warning: ${name} is no setting`)
    return await runHost(resolveSettings(buildUserSettings(flags, dependencies.environment)), dependencies)
  }
}

/** Resolves with the exit status: 0 after a drain, 128 plus the signal number when a signal stopped the host at once. */
async function runHost (settings: ResolvedSettings, dependencies: CommandLineDependencies): Promise<number> {
  let removeListener = (): void => {}
  let drainHost: (() => void) | undefined
  const interrupted = new Promise<number>(resolve => {
    let isDraining = false
    removeListener = dependencies.onSignal(signal => {
      // A host that is still starting has nothing to finish.
      if (drainHost === undefined || isDraining) return resolve(signal === 'SIGINT' ? 130 : 143)
      isDraining = true
      drainHost()
    })
  })
  try {
    return await Promise.race([interrupted, runUntilStopped()])
  } finally {
    removeListener()
  }

  async function runUntilStopped (): Promise<number> {
    const host = await dependencies.startEntryHost(settings)
    drainHost = () => host.drain()
    await host.waitUntilStopped()
    return cliConstants.exitStatus.success
  }
}
