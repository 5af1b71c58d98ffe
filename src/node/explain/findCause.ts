import type { LogLine } from './logLine.js'

interface CauseRule {
  readonly message: string
  readonly describe: (fields: Readonly<Record<string, unknown>>) => string | undefined
}

/** Messages that end a request or decide its end; the first rule that applies names the cause. */
const rules: readonly CauseRule[] = [
  { message: 'stages refused', describe: fields => `refused: ${String(fields.reason)}; the stages would have ended in ${String(fields.expectedMs)} ms and ${String(fields.marginMs)} ms of margin, with ${String(fields.aimLeftMs)} ms left before the aim; queues (on time+late/idle upstreams): ${String(fields.queues)}` },
  { message: 'request rejected', describe: fields => `rejected with ${String(fields.status)}: ${String(fields.reason)}, by version ${String(fields.configurationVersion)} of the configuration` },
  { message: 'request timed out', describe: fields => `no answer within its time: ${fields.mayHaveRun === true ? 'an upstream had it and did not answer' : 'it reached no upstream'} (${String(fields.sentCount)} sendings)` },
  { message: 'client left', describe: fields => `the client left after ${String(fields.elapsedMs)} ms` },
  { message: 'request refused', describe: fields => `refused: ${String(fields.reason)}` },
  { message: 'attempt ended', describe: describeAttempt }
]

/** Why the request ended as it did; undefined without lines. */
export function findCause (lines: readonly LogLine[]): string | undefined {
  if (lines.length === 0) return undefined
  for (const { message, describe } of rules) {
    const line = lines.findLast(candidate => candidate.message === message)
    const cause = line === undefined ? undefined : describe(line.fields)
    if (cause !== undefined) return cause
  }
  return 'no line tells the end; it may have been left out or the host may have died'
}

function describeAttempt (fields: Readonly<Record<string, unknown>>): string {
  const upstream = `upstream ${String(fields.upstream)} of ${String(fields.service)}`
  if (fields.action === 'finish' && fields.result === 'streamed') return `streamed whole from ${upstream}; longest pause ${String(fields.longestPauseMs)} ms`
  if (fields.action === 'deliver') return `answered with the status ${String(fields.status)} of ${upstream}`
  return `${String(fields.action)} after ${upstream}: ${String(fields.reason ?? fields.result)}`
}
