import { readFileSync } from 'node:fs'
import { ZodError } from 'zod'
import { decodeSite } from './decodeSite.js'
import { experimentDeployments } from './experimentDeployments.js'
import { ExperimentOptionError } from './experimentOptionError.js'
import type { ExperimentDeployment } from './experimentDeployment.js'
import type { ResolvedExperimentOptions } from './resolvedExperimentOptions.js'

/** Validates the command-line options. Throws an `ExperimentOptionError`. */
export function resolveExperimentOptions (user: Readonly<Record<string, unknown>>): ResolvedExperimentOptions {
  const deployment = user['site'] === undefined ? findExample(String(user['example'])) : readSite(String(user['site']))
  const day = user['day']
  const days = day === undefined ? deployment.days : deployment.days.filter(({ name }) => name === String(day))
  if (days.length === 0) throw new ExperimentOptionError(`unknown day ${String(day)}; known: ${deployment.days.map(({ name }) => name).join(', ')}`)
  const seed = Number(user['seed'])
  if (!Number.isInteger(seed)) throw new ExperimentOptionError(`seed ${String(user['seed'])} is not an integer`)
  return { deployment, days, seed, jsonFile: findText(user['json']), htmlFile: findText(user['html']) }
}

function findExample (name: string): ExperimentDeployment {
  const deployment = experimentDeployments.find(example => example.name === name)
  if (deployment === undefined) throw new ExperimentOptionError(`unknown example ${name}; known: ${experimentDeployments.map(example => example.name).join(', ')}`)
  return deployment
}

function readSite (path: string): ExperimentDeployment {
  try {
    return decodeSite(readFileSync(path, 'utf8'))
  } catch (error) {
    if (error instanceof ZodError) throw new ExperimentOptionError(`${path} is not a valid site file: ${error.issues[0]?.path.join('.')}: ${error.issues[0]?.message}`)
    throw new ExperimentOptionError(`${path}: ${(error as Error).message}`)
  }
}

function findText (value: unknown): string | undefined {
  return value === undefined ? undefined : String(value)
}
