import { readHostSettings } from '../../platform/readHostSettings.js'
import { runHostUntilSignal } from '../runHostUntilSignal.js'
import type { Command } from '../command.js'

/** `gateway`: runs a host on the platform until it is drained. */
export const gateway: Command = {
  usage: 'gateway',
  description: 'Runs a host on the platform; the settings file is named by LYCHEETRACK_SETTINGS. SIGTERM drains it',
  options: [],
  example: 'gateway',
  validate: () => [],
  run: async ({ dependencies }) => {
    const settings = await readHostSettings(dependencies.environment)
    return await runHostUntilSignal(dependencies, async () => await dependencies.startGatewayHost(settings))
  }
}
