import { createLogger } from '../../logging/createLogger.js'
import { readHostSettings } from '../../platform/readHostSettings.js'
import { reloadSettings } from '../reloadSettings.js'
import { runHostUntilSignal } from '../runHostUntilSignal.js'
import type { ReloadableHost } from '../reloadableHost.js'
import type { Command } from '../command.js'

/** `gateway`: runs a gateway host until it is drained. */
export const gateway: Command = {
  usage: 'gateway',
  description: 'Runs a gateway host on the platform; LYCHEETRACK_SETTINGS names the settings file. SIGTERM drains the host, SIGHUP reloads the settings',
  options: [],
  example: 'gateway',
  validate: () => [],
  run: async ({ dependencies }) => {
    const settings = await readHostSettings(dependencies.environment)
    const writeLine = dependencies.openHostLog('output')
    let host: ReloadableHost | undefined
    try {
      return await runHostUntilSignal({
        dependencies,
        logger: createLogger({ host: settings.hostId, failureDomain: settings.failureDomain, write: writeLine }),
        startHost: async () => {
          host = await dependencies.startGatewayHost(settings, writeLine)
          return host
        },
        reloadSettings: () => { reloadSettings(dependencies, host!) }
      })
    } finally {
      await writeLine.flush()
    }
  }
}
