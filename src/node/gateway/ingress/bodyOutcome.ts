/** The body of a request, or why it was not read to its end. */
export type BodyOutcome = Buffer | 'too-large' | 'incomplete' | 'late' | 'no-memory' | 'stopped'
