/** Describes why an answer could not be read. The HTTP client reports some invalid statuses by the text of an assertion. */
export function describeAnswerError (error: Error): string {
  return (error as NodeJS.ErrnoException).code === 'ERR_ASSERTION' ? 'the answer has no valid status' : error.message
}
