import type { SoakRecords } from './soakRecords.js'

/** Number of stages of a request, and of pieces of each. */
const stageCount = 2
const pieceCount = 2

/** Pieces are asked for requests that clients sent, with their key or with the results of their own stages only. */
export function checkStages ({ requests, pieces, executions }: SoakRecords): readonly string[] {
  const sent = new Set(requests.filter(request => request.kind === 'pipe').map(request => request.id))
  const pieceViolations = pieces.flatMap(({ requestId, stage, key, inputs = [] }) => {
    if (!sent.has(requestId)) return [`UNASKED: a piece of ${requestId}, which no client sent`]
    if (stage === 0) return key === `key-${requestId}` ? [] : [`UNASKED: a piece of ${requestId} with the key ${key}`]
    return checkInputs(`stage ${stage} of ${requestId}`, requestId, stage - 1, inputs)
  })
  const executionViolations = executions.flatMap(({ requestId, inputs }) => sent.has(requestId) ? checkInputs(requestId, requestId, stageCount - 1, inputs) : [])
  return [...pieceViolations, ...executionViolations]
}

/** A result's handle names the upstream, the request, the stage and the piece. */
function checkInputs (name: string, requestId: string, stage: number, inputs: readonly string[]): readonly string[] {
  const given = inputs.map(input => input.split('|').slice(1, 4).join('|')).sort()
  const expected = Array.from({ length: pieceCount }, (_, piece) => `${requestId}|${stage}|${piece}`)
  return given.join() === expected.join() ? [] : [`MIXED: ${name} was given ${given.join(' ')}`]
}
