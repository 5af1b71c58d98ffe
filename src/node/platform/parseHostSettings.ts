import { parse, TomlError } from 'smol-toml'
import { SettingsError } from '../settings/settingsError.js'
import { settingDefaults } from './settingDefaults.js'
import { settingsSchema } from './settingsSchema.js'
import type { ColdBound } from '../gateway/model/coldBound.js'
import type { HostSettings } from '../gateway/model/hostSettings.js'
import type { SettingFault } from '../settings/settingFault.js'

interface SettingIssue {
  readonly path: readonly PropertyKey[]
  readonly message: string
}

/** Without these, a host has no clients or nothing to serve them with. */
const requiredSettings = ['listenAddresses', 'listenAddresses.front', 'platform', 'platform.address']

/**
 * Parses the platform's settings file. Others than the required settings have defaults, which also replace values that
 * cannot be read; those are listed in `replacedSettings`. Throws a `SettingsError` that lists all invalid settings when a
 * required one is among them.
 */
export function parseHostSettings (text: string): HostSettings {
  const document = parseToml(text)
  const first = settingsSchema.safeParse(document)
  const issues = first.error?.issues ?? []
  const faults = issues.map(issue => buildFault(issue, document))
  if (issues.some(({ path }) => requiredSettings.includes(path.join('.')))) throw new SettingsError(faults)
  const { listenAddresses, limits, bounds, ...settings } = first.data ?? settingsSchema.parse(removeValues(document, issues))
  const internalPortRange = settings.internalPortRange ?? settingDefaults.internalPortRange
  return {
    hostId: settings.nodeName ?? listenAddresses.front,
    failureDomain: settings.zone,
    ipAddress: settings.ipAddress ?? listenAddresses.front.split(':')[0]!,
    replacedSettings: faults,
    clientAddress: listenAddresses.front,
    readinessAddress: listenAddresses.ready,
    directoryAddress: listenAddresses.directory,
    firstPeerPort: internalPortRange[0],
    lastPeerPort: internalPortRange[1],
    storeAddress: settings.platform.address,
    cores: limits.cpuShare * limits.cores,
    memoryBytes: limits.memoryMb * 1_048_576,
    fileDescriptors: limits.fileDescriptors,
    timings: {
      drainMs: bounds.drainMs,
      gracePeriodMs: bounds.gracePeriodS * 1000,
      configurationMs: bounds.configurationMs,
      evacuationMs: bounds.evacuationMs,
      faultGraceMs: bounds.stableWindowMs,
      maxAddressLifetimeMs: bounds.ttl_max_s * 1000,
      retryRatio: bounds.retryBudgetRatio,
      retryWindowMs: bounds.budgetWindowS * 1000,
      extraRetries: bounds.budgetExtraRetries,
      heartbeatMs: settings.heartbeatIntervalMs,
      coldBound: decodeColdBound(bounds.coldOverage, bounds.coldSlack)
    }
  }
}

/** Without an overage there is no bound; without a slack, the bound is the rate with its overage. */
function decodeColdBound (overage: number | undefined, slack = 0): ColdBound | undefined {
  return overage === undefined ? undefined : { overage, slack }
}

function parseToml (text: string): unknown {
  try {
    return parse(text)
  } catch (error) {
    if (!(error instanceof TomlError)) throw error
    throw new SettingsError([{ setting: 'settings file', value: `invalid TOML at line ${error.line}`, expected: 'must be a TOML document' }])
  }
}

/** Copies a document without the values that have issues; an item of a list takes its whole list with it. */
function removeValues (document: unknown, issues: readonly SettingIssue[]): unknown {
  const copy = structuredClone(document) as Record<PropertyKey, unknown>
  for (const { path } of issues) {
    const end = path.findIndex(name => typeof name === 'number')
    const names = end < 0 ? path : path.slice(0, end)
    const parent = findValue(copy, names.slice(0, -1)) as Record<PropertyKey, unknown> | undefined
    if (parent !== undefined) delete parent[names.at(-1)!]
  }
  return copy
}

function buildFault (issue: SettingIssue, document: unknown): SettingFault {
  const setting = issue.path.join('.')
  const given = findValue(document, issue.path)
  return {
    setting,
    value: given === undefined ? undefined : JSON.stringify(given),
    expected: issue.message.startsWith('must') ? issue.message : `must be valid: ${issue.message}`
  }
}

function findValue (root: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>((value, key) => typeof value === 'object' && value !== null ? (value as Record<PropertyKey, unknown>)[key] : undefined, root)
}
