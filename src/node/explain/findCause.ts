import type { LogLine } from './logLine.js'

interface CauseRule {
  readonly message: string
  readonly describe: (fields: Readonly<Record<string, unknown>>) => string | undefined
}

/** Log messages that tell why a request ended, in order of precedence: the first rule that applies states the cause. */
const rules: readonly CauseRule[] = [
  { message: 'stages refused', describe: fields => `refused: ${String(fields.reason)}; the stages were expected to take ${String(fields.expectedMs)} ms plus a margin of ${String(fields.marginMs)} ms, with ${String(fields.aimLeftMs)} ms left until the target time; queues (on time+late/idle of all upstreams): ${String(fields.queues)}` },
  { message: 'request rejected', describe: fields => `rejected with status ${String(fields.status)}: ${String(fields.reason)} (configuration version ${String(fields.configurationVersion)})` },
  { message: 'request timed out', describe: fields => `timed out: ${fields.mayHaveRun === true ? 'an upstream received the request and did not respond' : 'the request reached no upstream'} (attempts: ${String(fields.sentCount)})` },
  { message: 'client left', describe: fields => `the client disconnected after ${String(fields.elapsedMs)} ms` },
  { message: 'response broken off', describe: fields => `the response was broken off after ${String(fields.forwardedBytes)} bytes: ${String(fields.reason)}` },
  { message: 'answer cut off', describe: fields => `the host closed the connection with up to ${String(fields.unsentBytes)} bytes of answers unsent (${String(fields.reason)})` },
  { message: 'request cut off', describe: fields => `the host closed the connection without an answer (${String(fields.reason)}); ${fields.wasPassedOn === true ? 'an upstream was sent the request' : 'the request reached no upstream'}` },
  { message: 'request refused', describe: fields => `refused: ${String(fields.reason)}` },
  { message: 'attempt ended', describe: describeAttempt }
]

/** Describes why a request ended, from its log lines in order of time; undefined without lines. */
export function findCause (lines: readonly LogLine[]): string | undefined {
  if (lines.length === 0) return undefined
  for (const { message, describe } of rules) {
    const line = lines.findLast(candidate => candidate.message === message)
    const cause = line === undefined ? undefined : describe(line.fields)
    if (cause !== undefined) return cause
  }
  return 'no log line states how the request ended; the line may have been dropped or the host may have crashed'
}

function describeAttempt (fields: Readonly<Record<string, unknown>>): string {
  const upstream = `upstream ${String(fields.upstream)} of ${String(fields.service)}`
  if (fields.action === 'finish' && fields.result === 'streamed') return `streamed completely from ${upstream}; longest pause ${String(fields.longestPauseMs)} ms`
  if (fields.action === 'deliver') return `answered with status ${String(fields.status)} from ${upstream}`
  return `${String(fields.action)} after ${upstream}: ${String(fields.reason ?? fields.result)}`
}
