import type { AnswerCursor } from '../requests/answerCursor.js'

/** Position of a caller that joins again; undefined when it has nothing or names no position. */
export function parseLastEventId (value: string | undefined): AnswerCursor | undefined {
  const match = /^(\d{1,9}):(\d{1,9})$/.exec(value ?? '')
  return match === null ? undefined : { generation: Number(match[1]), offset: Number(match[2]) }
}
