import { z } from 'zod'
import { cliConstants } from '../constants.js'
import { clientOptions } from '../clientOptions.js'
import { formatTable } from '../formatTable.js'
import { jsonOption } from '../jsonOption.js'
import { resolveClient } from '../resolveClient.js'
import { InvalidServerResponseError } from '../invalidServerResponseError.js'
import { ServerConnection } from '../serverConnection.js'
import type { Command } from '../command.js'

const tokenVariable = 'LYCHEETRACK_TOKEN'
const routeSchema = z.object({
  addresses: z.array(z.object({ address: z.string(), failureDomain: z.string() })),
  lifetimeMs: z.number()
})

/** `route`: prints the addresses that a caller would use now. */
export const route: Command = {
  usage: 'route',
  description: 'Prints the addresses that callers of an account should use now',
  options: [
    clientOptions[0]!,
    { flag: 'token', type: 'text', description: "The account's token", defaultText: tokenVariable },
    jsonOption
  ],
  example: 'route --server 192.0.2.7:7100',
  validate: context => resolveClient(context, tokenVariable).faults,
  run: async context => {
    const { flags, dependencies } = context
    const { server, token } = resolveClient(context, tokenVariable)
    const response = routeSchema.safeParse(await new ServerConnection(server, token).send('/v1/route'))
    if (!response.success) throw new InvalidServerResponseError(`the route response of ${server} has an unexpected form`)
    const { addresses, lifetimeMs } = response.data
    const lines = flags.json === true
      ? [JSON.stringify(response.data, null, 2)]
      : [...formatTable(['address', 'failure domain'], addresses.map(entry => [entry.address, entry.failureDomain])), `valid for ${lifetimeMs} ms`]
    for (const line of lines) dependencies.writeOutput(line)
    return cliConstants.exitStatus.success
  }
}
