import { createLogger } from '../../logging/createLogger.js'
import { readHostSettings } from '../../platform/readHostSettings.js'
import { readStartSettings } from '../readStartSettings.js'
import { runHostUntilSignal } from '../runHostUntilSignal.js'
import { SettingsReloader } from '../settingsReloader.js'
import type { HostSettings } from '../../gateway/model/hostSettings.js'
import type { Command } from '../command.js'

/** `gateway`: runs a gateway host until it is drained. */
export const gateway: Command = {
  usage: 'gateway',
  description: 'Runs a gateway host on the platform; LYCHEETRACK_SETTINGS names the settings file. SIGTERM or SIGINT drains the host, a second SIGINT stops it at once, SIGHUP reloads the settings',
  options: [],
  example: 'gateway',
  validate: () => [],
  run: async ({ dependencies }) => {
    const readSettings = async (): Promise<HostSettings> => await readHostSettings(dependencies.environment)
    const reloader = new SettingsReloader(readSettings)
    const removeListener = dependencies.onSettingsChange(() => { reloader.reload() })
    const settings = await readStartSettings(readSettings, dependencies.wait)
    const writeLine = dependencies.openHostLog('output')
    try {
      return await runHostUntilSignal({
        dependencies,
        logger: createLogger({ host: settings.hostId, failureDomain: settings.failureDomain, write: writeLine }),
        startHost: async stopSignal => {
          const host = await dependencies.startGatewayHost(settings, { writeLine, stopSignal })
          reloader.setHost(host)
          return host
        },
        reloadSettings: () => { reloader.reload() }
      })
    } finally {
      removeListener()
      await writeLine.flush()
    }
  }
}
