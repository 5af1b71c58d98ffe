import { z } from 'zod'
import type { AnswerEnd } from './answerEnd.js'

const endSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('done'), tokenCount: z.number(), result: z.record(z.string(), z.unknown()) }),
  z.object({
    kind: z.literal('error'),
    code: z.string(),
    message: z.string(),
    ran: z.enum(['not_run', 'ran', 'unknown']),
    httpStatus: z.number(),
    retryAfterMs: z.number().optional()
  })
])

/**
 * Parses the end of an answer from the JSON that hosts exchange and claims store. Unreadable text becomes an
 * `outcome_unreadable` error.
 */
export function parseAnswerEnd (text: string): AnswerEnd {
  try {
    return endSchema.parse(JSON.parse(text))
  } catch {
    return { kind: 'error', code: 'outcome_unreadable', message: 'the recorded outcome cannot be read', ran: 'unknown', httpStatus: 500 }
  }
}
