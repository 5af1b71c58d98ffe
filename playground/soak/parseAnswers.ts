interface ParsedAnswer {
  readonly status: number
  /** Names in lower case. */
  readonly headers: ReadonlyMap<string, string>
  readonly body: string
  /** Whether the answer has its whole body; one without a length or chunks never has. */
  readonly isComplete: boolean
}

/** Splits what a client received on a connection (as latin1) into answers, the last of which may be incomplete. */
export function parseAnswers (text: string): readonly ParsedAnswer[] {
  const answers: ParsedAnswer[] = []
  let start = 0
  for (;;) {
    const headEnd = text.indexOf('\r\n\r\n', start)
    if (headEnd < 0) return answers
    const [line = '', ...fields] = text.slice(start, headEnd).split('\r\n')
    const status = Number(line.split(' ')[1])
    // An interim response consists of a head.
    if (status < 200) {
      start = headEnd + 4
      continue
    }
    const headers = new Map(fields.map(field => {
      const colon = field.indexOf(':')
      return [field.slice(0, colon).toLowerCase(), field.slice(colon + 1).trim()] as const
    }))
    const { body, end } = headers.get('transfer-encoding') === 'chunked'
      ? parseChunks(text, headEnd + 4)
      : parseSized(text, headEnd + 4, Number(headers.get('content-length') ?? Infinity))
    answers.push({ status, headers, body, isComplete: end !== undefined })
    if (end === undefined) return answers
    start = end
  }
}

function parseSized (text: string, start: number, length: number): { readonly body: string, readonly end?: number } {
  const end = start + length
  return { body: text.slice(start, end), ...end <= text.length ? { end } : {} }
}

function parseChunks (text: string, start: number): { readonly body: string, readonly end?: number } {
  let body = ''
  let position = start
  for (;;) {
    const lineEnd = text.indexOf('\r\n', position)
    if (lineEnd < 0) return { body }
    const length = parseInt(text.slice(position, lineEnd), 16)
    const next = lineEnd + 2 + length + 2
    if (length === 0) return { body, ...next <= text.length ? { end: next } : {} }
    body += text.slice(lineEnd + 2, lineEnd + 2 + length)
    if (next > text.length) return { body }
    position = next
  }
}
