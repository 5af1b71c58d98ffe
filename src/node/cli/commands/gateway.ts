import { readHostSettings } from '../../platform/readHostSettings.js'
import { reloadSettings } from '../reloadSettings.js'
import { runHostUntilSignal } from '../runHostUntilSignal.js'
import type { ReloadableHost } from '../reloadableHost.js'
import type { Command } from '../command.js'

/** `gateway`: runs a host on the platform until it is drained. */
export const gateway: Command = {
  usage: 'gateway',
  description: 'Runs a host on the platform; the settings file is named by LYCHEETRACK_SETTINGS. SIGTERM drains it, SIGHUP reads the settings again',
  options: [],
  example: 'gateway',
  validate: () => [],
  run: async ({ dependencies }) => {
    const settings = await readHostSettings(dependencies.environment)
    let host: ReloadableHost | undefined
    // SIGHUP may come before the host has started; without a listener it would end the process.
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
