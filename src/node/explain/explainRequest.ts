import { findCause } from './findCause.js'
import { parseLogLine } from './parseLogLine.js'
import type { LogLine } from './logLine.js'
import type { RequestExplanation } from './requestExplanation.js'

/** Fields that the timeline leaves out of the field list, because it shows them in columns or every line has them. */
const hiddenFields: readonly string[] = ['level', 'time', 'host', 'failureDomain', 'requestId', 'message']

/** Builds the timeline of a request from the log lines of any number of hosts. Unreadable lines are counted and left out. */
export function explainRequest (requestId: string, text: string): RequestExplanation {
  let unreadableCount = 0
  const lines: LogLine[] = []
  for (const row of text.split('\n')) {
    if (!row.includes(requestId)) continue
    const line = parseLogLine(row)
    if (line === undefined) unreadableCount++
    else if (line.requestId === requestId || line.firstRequestId === requestId) lines.push(line)
  }
  lines.sort((a, b) => a.timeMs - b.timeMs)
  const startMs = lines[0]?.timeMs ?? 0
  const timeline = lines.map(line => `${String(line.timeMs - startMs).padStart(7)} ms  ${line.host}  ${line.message}  ${formatFields(line)}`.trimEnd())
  return { timeline, cause: findCause(lines), unreadableCount }
}

function formatFields (line: LogLine): string {
  return Object.entries(line.fields)
    .filter(([name]) => !hiddenFields.includes(name))
    .map(([name, value]) => `${name}=${typeof value === 'string' && value.includes(' ') ? JSON.stringify(value) : String(value)}`)
    .join(' ')
}
