import { findCause } from './findCause.js'
import { parseLogLine } from './parseLogLine.js'
import type { LogLine } from './logLine.js'
import type { RequestExplanation } from './requestExplanation.js'

/** Fields that each line has or that the timeline shows by itself. */
const hiddenFields: readonly string[] = ['level', 'time', 'host', 'failureDomain', 'requestId', 'message']

/** The way of a request through the log lines of any hosts. Lines that cannot be read are counted and left out. */
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
