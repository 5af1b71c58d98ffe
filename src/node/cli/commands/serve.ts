import { createLogger } from '../../logging/createLogger.js'
import { buildUserSettings } from '../../settings/buildUserSettings.js'
import { listUnknownVariables } from '../../settings/listUnknownVariables.js'
import { runHostUntilSignal } from '../runHostUntilSignal.js'
import { resolveSettings } from '../../settings/resolveSettings.js'
import { SettingsError } from '../../settings/settingsError.js'
import { settingOptions } from '../settingOptions.js'
import type { Command } from '../command.js'

/** `serve`: runs an entry host until it is drained. */
export const serve: Command = {
  usage: 'serve',
  description: 'Runs an entry host; SIGTERM, SIGINT or SIGHUP drains it, a second SIGINT stops it at once. Each flag is also a variable: --host-id is LYCHEETRACK_HOST_ID',
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
    for (const name of listUnknownVariables(dependencies.environment)) dependencies.writeError(`warning: ${name} is not a known setting`)
    const settings = resolveSettings(buildUserSettings(flags, dependencies.environment))
    const { hostId, failureDomain, logLevel, operatorToken, peerSecret } = settings
    return await runHostUntilSignal({
      dependencies,
      logger: createLogger({ host: hostId, failureDomain, level: logLevel, secrets: [operatorToken, peerSecret], write: dependencies.openHostLog('error') }),
      startHost: async stopSignal => await dependencies.startEntryHost(settings, stopSignal)
    })
  }
}
