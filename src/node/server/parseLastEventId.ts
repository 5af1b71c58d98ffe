import type { AnswerCursor } from '../requests/answerCursor.js'

/** Parses the position from which a rejoining caller resumes; undefined without a valid position. */
export function parseLastEventId (value: string | undefined): AnswerCursor | undefined {
  const match = /^(\d{1,9}):(\d{1,9})$/.exec(value ?? '')
  return match === null ? undefined : { generation: Number(match[1]), offset: Number(match[2]) }
}
