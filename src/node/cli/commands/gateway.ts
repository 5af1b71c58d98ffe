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
    let host: ReloadableHost | undefined
    // SIGHUP may arrive before the host has started; without a listener it would end the process.
    const removeListener = dependencies.onReload(() => { if (host !== undefined) reloadSettings(dependencies, host) })
    try {
      return await runHostUntilSignal(dependencies, async () => {
        host = await dependencies.startGatewayHost(settings)
        return host
      })
    } finally {
      removeListener()
    }
  }
}
