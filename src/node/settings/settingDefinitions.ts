import { z } from 'zod'
import { isAddress } from './isAddress.js'
import { listenerConstants } from '../listeners/constants.js'
import { settingsConstants } from './constants.js'
import type { SettingDefinition } from './settingDefinition.js'
import type { UserSettings } from './userSettings.js'

type SettingFields = Pick<SettingDefinition, 'allowed' | 'schema'> & Partial<SettingDefinition>

function buildDefinition (key: keyof UserSettings, description: string, fields: SettingFields): SettingDefinition {
  const flag = key.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)
  const variable = settingsConstants.variablePrefix + flag.replaceAll('-', '_').toUpperCase()
  return { key, flag, variable, description, required: false, secret: false, ...fields }
}

function buildNumber (min: number, max: number, unit: string, defaultValue?: number): SettingFields {
  const schema = z.preprocess(
    value => typeof value === 'string' && /^\d+$/.test(value) ? Number(value) : value,
    z.number().int().min(min).max(max))
  return { schema, defaultValue, allowed: `a whole number${unit === '' ? '' : ` of ${unit}`} from ${min} to ${max}` }
}

function buildAddress (minPort: number): SettingFields {
  return {
    schema: z.string().refine(text => isAddress(text, minPort)),
    allowed: `ip:port with a port from ${minPort} to 65535, such as 192.0.2.7:7100 or [2001:db8::7]:7100`
  }
}

const name: SettingFields = {
  schema: z.string().regex(/^[A-Za-z0-9][A-Za-z0-9.-]{0,62}$/),
  allowed: '1 to 63 letters, digits, dots and hyphens, beginning with a letter or digit',
  required: true
}
const url: SettingFields = {
  schema: z.url({ protocol: /^https?$/ }).transform(text => text.replace(/\/+$/, '')),
  allowed: 'an http:// or https:// URL',
  required: true
}
const secret: SettingFields = {
  schema: z.string().min(settingsConstants.minSecretLength).regex(/^[\x21-\x7e]+$/),
  allowed: `at least ${settingsConstants.minSecretLength} printable ASCII characters without spaces`,
  required: true,
  secret: true
}
const logLevels = ['debug', 'info', 'warning', 'error']

/** All settings of an entry host, in the order of the documentation. */
export const settingDefinitions: readonly SettingDefinition[] = [
  buildDefinition('hostId', 'Unique name of this host.', name),
  buildDefinition('failureDomain', 'Failure domain (zone) of this host.', name),
  buildDefinition('listen', 'Address on which the caller and administration API listens. Port 0 takes a free port.', { ...buildAddress(0), required: true }),
  buildDefinition('peerListen', 'Address on which the gRPC server for other hosts listens. Port 0 takes a free port.', { ...buildAddress(0), required: true }),
  buildDefinition('advertise', 'Address that callers are told to connect to.', { ...buildAddress(1), defaultText: 'the value of --listen' }),
  buildDefinition('peerAdvertise', 'Address that other hosts are told to connect to.', { ...buildAddress(1), defaultText: 'the value of --peer-listen' }),
  buildDefinition('keyValueUrl', "Base URL of the platform's key-value service.", url),
  buildDefinition('hostListUrl', "Base URL of the platform's host list.", url),
  buildDefinition('operatorToken', 'Bearer token of the administration API.', secret),
  buildDefinition('peerSecret', 'Secret with which entry hosts authenticate each other; the same on all hosts.', secret),
  buildDefinition('routeLifetimeMs', 'Time for which callers keep a route response. A drain takes at least this long.', buildNumber(100, 60_000, 'milliseconds', 5000)),
  buildDefinition('hostListPollMs', 'Time between two reads of the host list.', buildNumber(50, 10_000, 'milliseconds', 1000)),
  buildDefinition('loadPollMs', "Time between two reads of an upstream's load report.", buildNumber(50, 10_000, 'milliseconds', 500)),
  buildDefinition('probeMs', 'Time between two probes of an upstream.', buildNumber(50, 3000, 'milliseconds', 1000)),
  buildDefinition('logLevel', 'Minimum level of the log lines that are written.', { schema: z.enum(logLevels), allowed: `one of ${logLevels.join(', ')}`, defaultValue: 'info' }),
  buildDefinition(
    'maxBodyBytes',
    'Maximum size of a request body. All bodies that are being received may hold 24 MB together, or twice this size if that is more; one account gets two thirds.',
    buildNumber(1024, 67_108_864, 'bytes', 1_048_576)
  ),
  buildDefinition('answerRetentionMs', 'Time for which a finished answer is kept for callers that send the same request again.', buildNumber(1000, 600_000, 'milliseconds', 60_000)),
  buildDefinition('answerRetentionBytes', 'Memory for finished answers; the oldest are dropped first.', buildNumber(65_536, 1_073_741_824, 'bytes', 33_554_432)),
  buildDefinition('maxConnectionsPerUpstream', 'Maximum number of open connections to one upstream. Each running stream takes one.', buildNumber(1, 4096, 'connections', 64)),
  buildDefinition('upstreamSubset', 'Maximum number of upstreams per pool that this host connects to. Smaller pools are used completely.', buildNumber(2, 4096, 'upstreams', 64)),
  buildDefinition('drainTimeoutMs', 'Time from the stop signal within which the process ends, even if requests are still running.', buildNumber(1000, 3_600_000, 'milliseconds', 120_000)),
  buildDefinition(
    'maxCallerConnections',
    'Maximum number of open connections of callers. A further one takes the place of the one whose answer is unread for longest, or is closed.',
    { ...buildNumber(8, 1_000_000, 'connections'), defaultText: 'three quarters of the file descriptors of the process, less 32' }
  ),
  buildDefinition(
    'unreadTimeoutMs',
    'Time after which a connection is closed whose caller takes nothing of a pending answer.',
    buildNumber(1000, 3_600_000, 'milliseconds', listenerConstants.defaultUnreadTimeoutMs)
  ),
  buildDefinition('seed', 'Seed of the random numbers, for tests only.', { ...buildNumber(0, 4_294_967_295, ''), defaultText: 'a random seed' })
]
