import { AdministrationClient } from './administrationClient.js'
import { resolveClient } from './resolveClient.js'
import type { CommandContext } from './commandContext.js'

/** Creates a client for the server and operator token of a validated command line. */
export function createAdministrationClient (context: CommandContext): AdministrationClient {
  const { server, token } = resolveClient(context)
  return new AdministrationClient(server, token)
}
