import { z } from 'zod'
import { cliConstants } from '../constants.js'
import { formatTable } from '../formatTable.js'
import { InvalidServerResponseError } from '../invalidServerResponseError.js'
import { isAddress } from '../../settings/isAddress.js'
import { jsonOption } from '../jsonOption.js'
import { ServerConnection } from '../serverConnection.js'
import type { Command } from '../command.js'
import type { CommandContext } from '../commandContext.js'

const placementSchema = z.object({
  host: z.string(),
  route: z.string(),
  service: z.string(),
  // Missing in the answers of the previous version.
  refusal: z.object({
    cause: z.string(),
    reason: z.string(),
    retryAfterMs: z.number(),
    figures: z.record(z.string(), z.number())
  }).nullable().default(null),
  chosen: z.string().nullable(),
  upstreams: z.array(z.object({
    id: z.string(),
    address: z.string(),
    failureDomain: z.string(),
    version: z.string(),
    blocks: z.array(z.object({ condition: z.string(), waitMs: z.number().nullable() })),
    cost: z.record(z.string(), z.number()),
    totalCost: z.number().nullable()
  }))
})

type Refusal = NonNullable<z.infer<typeof placementSchema>['refusal']>
type Upstream = z.infer<typeof placementSchema>['upstreams'][number]

/** `placement`: prints where a gateway host would send a request now, and what keeps it from each upstream. */
export const placement: Command = {
  usage: 'placement <host-name> <path>',
  description: 'Prints where a gateway host would send a request now: the conditions that block each upstream, or its cost by part; changes nothing',
  options: [
    { flag: 'server', type: 'text', description: 'ip:port of the metrics of a gateway host', defaultText: 'LYCHEETRACK_SERVER' },
    { flag: 'id', type: 'text', description: 'Request id, for routes with several services and for busy engines' },
    { flag: 'account', type: 'text', description: 'Name of the account' },
    {
      flag: 'time-left-ms',
      type: 'text',
      description: 'Time for which the client waits',
      defaultText: 'the timeout of the route'
    },
    { flag: 'tokens', type: 'text', description: 'Tokens of the prompt' },
    { flag: 'parts', type: 'text', description: 'Parts of the prompt, as id:tokens,id:tokens' },
    jsonOption
  ],
  example: 'placement shop.example /chat/ --server 192.0.2.7:9464',
  validate: context => validateServer(context),
  run: async context => {
    const { flags, positional, dependencies } = context
    const server = getServer(context)
    const [host = '', path = ''] = positional
    const fields = new URLSearchParams({ host, path })
    if (flags['time-left-ms'] !== undefined) fields.set('timeLeftMs', String(flags['time-left-ms']))
    for (const name of ['id', 'account', 'tokens', 'parts']) {
      if (flags[name] !== undefined) fields.set(name, String(flags[name]))
    }
    // The server asks for no token.
    const response = placementSchema.safeParse(await new ServerConnection(server, 'none').send(`/placement?${fields.toString()}`))
    if (!response.success) throw new InvalidServerResponseError(`the placement response of ${server} has an unexpected form`)
    const { chosen, refusal, upstreams, ...rest } = response.data
    const lines = flags.json === true
      ? [JSON.stringify(response.data, null, 2)]
      : [
          `${rest.host}: route ${rest.route}, service ${rest.service}, ${chosen === null ? 'no upstream' : `upstream ${chosen}`}`,
          ...refusal === null ? [] : [formatRefusal(refusal)],
          ...formatTable(['upstream', 'failure domain', 'version', 'cost', 'parts or conditions'], upstreams.map(formatUpstream))
        ]
    for (const line of lines) dependencies.writeOutput(line)
    return cliConstants.exitStatus.success
  }
}

function formatRefusal ({ cause, reason, retryAfterMs, figures }: Refusal): string {
  const details = Object.entries(figures).map(([name, value]) => `${name} ${value}`).join(', ')
  return `refused (${cause}), again in ${retryAfterMs} ms: ${reason} (${details})`
}

function formatUpstream ({ id, failureDomain, version, blocks, cost, totalCost }: Upstream): readonly string[] {
  const conditions = blocks.map(({ condition, waitMs }) => waitMs === null ? condition : `${condition} (${waitMs} ms)`)
  const parts = Object.entries(cost).map(([name, value]) => `${name} ${value}`)
  return [id, failureDomain, version, totalCost === null ? '' : String(totalCost), (conditions.length > 0 ? conditions : parts).join(', ')]
}

function getServer ({ flags, dependencies: { environment } }: CommandContext): string {
  return String(flags.server ?? environment.LYCHEETRACK_SERVER ?? '')
}

function validateServer (context: CommandContext): readonly string[] {
  const server = getServer(context)
  return isAddress(server, 1) ? [] : [`--server (LYCHEETRACK_SERVER) is "${server}"; it must be ip:port, such as 192.0.2.7:9464`]
}
