import { z } from 'zod'
import type { LogLine } from './logLine.js'

const schema = z.looseObject({
  time: z.string(),
  host: z.string().default('unknown host'),
  message: z.string(),
  requestId: z.string().optional(),
  firstRequestId: z.string().optional()
})

/** Parses a log line. Text before its JSON object, as log collectors add it, is skipped. Undefined if the line is not valid. */
export function parseLogLine (row: string): LogLine | undefined {
  const parsed = schema.safeParse(parseJson(row.slice(Math.max(row.indexOf('{'), 0))))
  if (!parsed.success) return undefined
  const { time, host, message, requestId, firstRequestId } = parsed.data
  const timeMs = Date.parse(time)
  return Number.isNaN(timeMs) ? undefined : { timeMs, host, message, requestId, firstRequestId, fields: parsed.data }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    // Truncated lines and lines of other programs are counted by the caller.
    return undefined
  }
}
