/** Builds the prompt of a `generate` stage: context, text and the results of earlier stages, one per line. */
export function buildPrompt (input: unknown, results: Readonly<Record<string, unknown>>): string {
  const fields = typeof input === 'object' && input !== null ? input as { context?: unknown, text?: unknown } : { text: input }
  const format = (value: unknown): string => value === undefined ? '' : typeof value === 'string' ? value : JSON.stringify(value)
  return `${format(fields.context)}\n${format(fields.text)}\n${JSON.stringify(results)}`
}
