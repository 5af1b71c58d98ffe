import type { RawAnswer } from './rawAnswer.js'

/** Parses the complete answers with a stated end at the beginning of `text`. */
export function parseRawAnswers (text: string): readonly RawAnswer[] {
  const answers: RawAnswer[] = []
  let rest = text
  for (;;) {
    const headEnd = rest.indexOf('\r\n\r\n')
    if (headEnd < 0) return answers
    const [line = '', ...fields] = rest.slice(0, headEnd).split('\r\n')
    const headers = Object.fromEntries(fields.map(field => {
      const colon = field.indexOf(':')
      return [field.slice(0, colon).toLowerCase(), field.slice(colon + 1).trim()]
    }))
    const status = Number(line.split(' ')[1])
    const bodyStart = headEnd + 4
    const chunksEnd = rest.indexOf('0\r\n\r\n', bodyStart)
    let end = bodyStart
    if (headers['transfer-encoding'] === 'chunked') end = chunksEnd < 0 ? Infinity : chunksEnd + 5
    else if (status >= 200) end += Number(headers['content-length'] ?? 0)
    if (end > rest.length) return answers
    answers.push({ status, headers, body: rest.slice(bodyStart, end) })
    rest = rest.slice(end)
  }
}
