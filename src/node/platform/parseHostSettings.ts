import { parse, TomlError } from 'smol-toml'
import { SettingsError } from '../settings/settingsError.js'
import { settingsSchema } from './settingsSchema.js'
import type { HostSettings } from '../gateway/model/hostSettings.js'
import type { SettingFault } from '../settings/settingFault.js'

/** Parses the platform's settings file. Throws a `SettingsError` that lists all invalid settings. */
export function parseHostSettings (text: string): HostSettings {
  const parsed = settingsSchema.safeParse(parseToml(text))
  if (!parsed.success) throw new SettingsError(parsed.error.issues.map(issue => buildFault(issue, text)))
  const { listenAddresses, limits, bounds, internalPortRange, ...settings } = parsed.data
  return {
    hostId: settings.nodeName,
    failureDomain: settings.zone,
    ipAddress: settings.ipAddress,
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
      faultGraceMs: bounds.stableWindowMs,
      maxAddressLifetimeMs: bounds.ttl_max_s * 1000,
      retryRatio: bounds.retryBudgetRatio,
      retryWindowMs: bounds.budgetWindowS * 1000,
      extraRetries: bounds.budgetExtraRetries,
      heartbeatMs: settings.heartbeatIntervalMs
    }
  }
}

function parseToml (text: string): unknown {
  try {
    return parse(text)
  } catch (error) {
    if (!(error instanceof TomlError)) throw error
    throw new SettingsError([{ setting: 'settings file', value: `invalid TOML at line ${error.line}`, expected: 'must be a TOML document' }])
  }
}

function buildFault (issue: { readonly path: readonly PropertyKey[], readonly message: string }, text: string): SettingFault {
  const setting = issue.path.join('.')
  const given = findValue(parseToml(text), issue.path)
  return {
    setting,
    value: given === undefined ? undefined : JSON.stringify(given),
    expected: issue.message.startsWith('must') ? issue.message : `must be valid: ${issue.message}`
  }
}

function findValue (root: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>((value, key) => typeof value === 'object' && value !== null ? (value as Record<PropertyKey, unknown>)[key] : undefined, root)
}
