import type { ContractFault } from '../../types/contractFault.js'

interface DraftStage {
  readonly name: string
  readonly operation: string
  readonly after: readonly string[]
  readonly model?: unknown
  readonly maxTokens?: unknown
  readonly serviceOperation?: unknown
}

/** Returns the faults in the stage graph of a request kind: duplicate names, unknown stages, cycles and fields that do not fit the operation. */
export function validateStages (path: string, stages: readonly DraftStage[]): readonly ContractFault[] {
  const names = new Set(stages.map(stage => stage.name))
  const cyclicStages = findCyclicStages(stages)
  return stages.flatMap((stage, i) => [
    ...validateNameAndDependencies(`${path}.${i}`, stage, names, stages.slice(0, i)),
    ...validateOperation(`${path}.${i}`, stage),
    ...(cyclicStages.has(stage.name) ? [{ path: `${path}.${i}.after`, message: `stage ${stage.name} is part of a cycle` }] : [])
  ])
}

function validateNameAndDependencies (path: string, stage: DraftStage, names: ReadonlySet<string>, earlier: readonly DraftStage[]): readonly ContractFault[] {
  const faults: ContractFault[] = []
  if (earlier.some(other => other.name === stage.name)) faults.push({ path: `${path}.name`, message: `stage ${stage.name} exists twice` })
  stage.after.forEach((dependency, i) => {
    if (!names.has(dependency)) faults.push({ path: `${path}.after.${i}`, message: `no stage is named ${dependency}` })
    if (stage.after.indexOf(dependency) < i) faults.push({ path: `${path}.after.${i}`, message: `${dependency} is listed twice` })
  })
  return faults
}

function validateOperation (path: string, stage: DraftStage): readonly ContractFault[] {
  const faults: ContractFault[] = []
  const validateField = (field: 'model' | 'maxTokens' | 'serviceOperation', operation: string): void => {
    const isSet = stage[field] !== undefined
    if (stage.operation === operation && !isSet) faults.push({ path: `${path}.${field}`, message: `operation ${operation} needs ${field}` })
    if (stage.operation !== operation && isSet) faults.push({ path: `${path}.${field}`, message: `only operation ${operation} takes ${field}` })
  }
  validateField('model', 'generate')
  validateField('maxTokens', 'generate')
  validateField('serviceOperation', 'call')
  return faults
}

// A stage is part of a cycle if it depends on itself, directly or through other stages.
function findCyclicStages (stages: readonly DraftStage[]): ReadonlySet<string> {
  const dependencies = new Map(stages.map(stage => [stage.name, stage.after]))
  const hasPath = (from: string, to: string, seen: Set<string>): boolean => (dependencies.get(from) ?? []).some(next => {
    if (next === to) return true
    if (seen.has(next)) return false
    seen.add(next)
    return hasPath(next, to, seen)
  })
  return new Set(stages.map(stage => stage.name).filter(stage => hasPath(stage, stage, new Set())))
}
