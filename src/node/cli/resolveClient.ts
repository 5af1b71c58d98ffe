import { isAddress } from '../settings/isAddress.js'
import type { CommandContext } from './commandContext.js'

interface ClientSettings {
  readonly server: string
  readonly token: string
  readonly faults: readonly string[]
}

/** Resolves the server and token of a client command from its flags or the environment, with all their faults. */
export function resolveClient (context: CommandContext, tokenVariable = 'LYCHEETRACK_OPERATOR_TOKEN'): ClientSettings {
  const { flags, dependencies: { environment } } = context
  const server = String(flags.server ?? environment.LYCHEETRACK_SERVER ?? '')
  const token = String(flags.token ?? environment[tokenVariable] ?? '')
  const faults: string[] = []
  if (server === '' && flags.server === undefined) faults.push('--server (LYCHEETRACK_SERVER) is missing; it must be ip:port, such as 192.0.2.7:7100')
  else if (server !== '' && !isAddress(server, 1)) faults.push(`--server (LYCHEETRACK_SERVER) is "${server}"; it must be ip:port, such as 192.0.2.7:7100`)
  if (token === '' && flags.token === undefined) faults.push(`--token (${tokenVariable}) is missing`)
  else if (!/^[\x21-\x7e]*$/.test(token)) faults.push(`--token (${tokenVariable}) must be printable ASCII without spaces`)
  return { server, token, faults }
}
