import { z } from 'zod'
import { RequestError } from '../requests/requestError.js'
import { parseJsonBody } from './parseJsonBody.js'
import type { SubmissionBody } from './submissionBody.js'

const bodySchema = z.object({
  kind: z.string().min(1),
  input: z.unknown().optional(),
  stream: z.boolean().default(false),
  deadlineMs: z.number().positive().optional()
})

/** Parses the body of a submission. Throws `RequestError`. */
export function parseSubmissionBody (text: string): SubmissionBody {
  const parsed = bodySchema.safeParse(parseJsonBody(text))
  if (parsed.success) return parsed.data
  const issue = parsed.error.issues[0]
  throw new RequestError('invalid_request', `${issue?.path.join('.') || 'body'}: ${issue?.message ?? 'invalid'}`, 400, 'not_run')
}
