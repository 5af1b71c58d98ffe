import { AdministrationClient } from './administrationClient.js'
import { resolveClient } from './resolveClient.js'
import type { CommandContext } from './commandContext.js'

/** Client for the server and operator token of a command line that has been validated. */
export function createAdministrationClient (context: CommandContext): AdministrationClient {
  const { server, token } = resolveClient(context)
  return new AdministrationClient(server, token)
}
