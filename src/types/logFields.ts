/** Structured fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | null | undefined>>
