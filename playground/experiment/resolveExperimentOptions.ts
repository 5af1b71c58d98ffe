import { readFileSync } from 'node:fs'
import { ZodError } from 'zod'
import { decodeSite } from './decodeSite.js'
import { exampleWorlds } from './exampleWorlds.js'
import { ExperimentOptionError } from './experimentOptionError.js'
import type { ExperimentWorld } from './experimentWorld.js'
import type { ResolvedExperimentOptions } from './resolvedExperimentOptions.js'

/** Checks the options of the command line. Throws an `ExperimentOptionError`. */
export function resolveExperimentOptions (user: Readonly<Record<string, unknown>>): ResolvedExperimentOptions {
  const world = user['site'] === undefined ? findExample(String(user['example'])) : readSite(String(user['site']))
  const day = user['day']
  const days = day === undefined ? world.days : world.days.filter(({ name }) => name === String(day))
  if (days.length === 0) throw new ExperimentOptionError(`no day ${String(day)}; there are ${world.days.map(({ name }) => name).join(', ')}`)
  const seed = Number(user['seed'])
  if (!Number.isInteger(seed)) throw new ExperimentOptionError('the seed must be an integer')
  return { world, days, seed, jsonFile: findText(user['json']), htmlFile: findText(user['html']) }
}

function findExample (name: string): ExperimentWorld {
  const world = exampleWorlds.find(example => example.name === name)
  if (world === undefined) throw new ExperimentOptionError(`no example ${name}; there are ${exampleWorlds.map(example => example.name).join(', ')}`)
  return world
}

function readSite (path: string): ExperimentWorld {
  try {
    return decodeSite(readFileSync(path, 'utf8'))
  } catch (error) {
    if (error instanceof ZodError) throw new ExperimentOptionError(`${path} is no site file: ${error.issues[0]?.path.join('.')}: ${error.issues[0]?.message}`)
    throw new ExperimentOptionError(`${path}: ${(error as Error).message}`)
  }
}

function findText (value: unknown): string | undefined {
  return value === undefined ? undefined : String(value)
}
