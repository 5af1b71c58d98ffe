import type { BenchOptions } from './benchOptions.js'
import { BenchOptionError } from './benchOptionError.js'
import type { BenchSettings } from './benchSettings.js'
import { defaultSettings } from './defaultSettings.js'
import type { PolicyName } from './policyName.js'

const defaultSeeds = [1, 2, 3]
const knownPolicies: readonly PolicyName[] = ['lycheetrack', 'round-robin', 'least-outstanding', 'fifo', 'oracle']

/** Resolves the options that sade has parsed. Throws `BenchOptionError`. */
export function resolveBenchOptions (user: Readonly<Record<string, unknown>>): BenchOptions {
  const { example, scenario, seed, json } = user
  if (example !== undefined && example !== 'ferry' && example !== 'kouign') throw new BenchOptionError(`unknown example ${String(example)}; known: ferry, kouign`)
  const seeds = seed === undefined ? defaultSeeds : listValues(seed).map(parseSeed)
  return {
    examples: example === undefined ? ['ferry', 'kouign'] : [example],
    scenarios: listValues(scenario).map(String),
    policies: user.policy === undefined ? knownPolicies : listValues(user.policy).map(parsePolicy),
    seeds,
    settings: resolveSettings(listValues(user.set).map(String)),
    jsonFile: typeof json === 'string' ? json : undefined,
    cost: user.cost === true
  }
}

function listValues (value: unknown): readonly unknown[] {
  if (value === undefined) return []
  return Array.isArray(value) ? value : [value]
}

function parsePolicy (value: unknown): PolicyName {
  const policy = knownPolicies.find(name => name === value)
  if (policy === undefined) throw new BenchOptionError(`unknown policy ${String(value)}; known: ${knownPolicies.join(', ')}`)
  return policy
}

function parseSeed (value: unknown): number {
  const seed = Number(value)
  if (!Number.isInteger(seed) || seed < 0) throw new BenchOptionError(`seed ${String(value)} is not a whole number`)
  return seed
}

function resolveSettings (pairs: readonly string[]): BenchSettings {
  const settings: Record<string, number> = { ...defaultSettings }
  for (const pair of pairs) {
    const [key = '', text = ''] = pair.split('=')
    const value = Number(text)
    if (!(key in settings)) throw new BenchOptionError(`unknown setting ${key}; known: ${Object.keys(settings).join(', ')}`)
    if (text === '' || !Number.isFinite(value) || value < 0) throw new BenchOptionError(`setting ${key} needs a number of at least 0`)
    settings[key] = value
  }
  return { ...defaultSettings, ...settings }
}
