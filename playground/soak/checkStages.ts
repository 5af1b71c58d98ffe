import type { SoakRecords } from './soakRecords.js'

const stageCount = 2
/** Pieces of each stage. */
const pieceCount = 2

/**
 * Checks that upstreams are asked only for pieces of requests that clients sent: the first stage with the piece key of
 * the request, every later stage and the request itself with the results of the stage before.
 */
export function checkStages ({ requests, pieces, executions }: SoakRecords): readonly string[] {
  const sent = new Set(requests.filter(request => request.kind === 'pipe').map(request => request.id))
  const pieceViolations = pieces.flatMap(({ requestId, stage, key, inputs = [] }) => {
    if (!sent.has(requestId)) return [`UNASKED: a piece of ${requestId} was requested, which no client sent`]
    if (stage === 0) return key === `key-${requestId}` ? [] : [`UNASKED: a piece of ${requestId} was requested with the key ${key}`]
    return checkInputs(`stage ${stage} of ${requestId}`, requestId, stage - 1, inputs)
  })
  const executionViolations = executions.flatMap(({ requestId, inputs }) => sent.has(requestId) ? checkInputs(requestId, requestId, stageCount - 1, inputs) : [])
  return [...pieceViolations, ...executionViolations]
}

/** Checks that the inputs are the results of all pieces of `stage`. A handle is `upstream|request|stage|piece|number`. */
function checkInputs (name: string, requestId: string, stage: number, inputs: readonly string[]): readonly string[] {
  const given = inputs.map(input => input.split('|').slice(1, 4).join('|')).sort()
  const expected = Array.from({ length: pieceCount }, (_, piece) => `${requestId}|${stage}|${piece}`)
  return given.join() === expected.join() ? [] : [`MIXED: ${name} was given the inputs ${given.join(' ')}, expected ${expected.join(' ')}`]
}
