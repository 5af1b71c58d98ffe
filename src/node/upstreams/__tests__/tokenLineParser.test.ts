import fc from 'fast-check'
import t from 'tap'
import { TokenLineParser } from '../tokenLineParser.js'

t.test('parses tokens of any text from a stream split at any byte', async t => {
  fc.assert(fc.property(fc.array(fc.string({ unit: 'grapheme' }), { maxLength: 20 }), fc.array(fc.nat(40), { minLength: 1, maxLength: 10 }), fc.boolean(), (tokens, sizes, hasReturns) => {
    const end = hasReturns ? '\r\n\r\n' : '\n\n'
    const text = tokens.map((token, o) => `data: ${JSON.stringify({ o, t: token })}${end}: keepalive${end}`).join('') + `data: {"done":true,"count":${tokens.length}}${end}`
    const bytes = Buffer.from(text)
    const seen: string[] = []
    let announcedCount = -1
    const parser = new TokenLineParser({
      onToken: (offset, literal) => { seen[offset] = JSON.parse(literal) as string },
      onDone: count => { announcedCount = count },
      onUnknownLine: line => t.fail(`unknown line ${line}`)
    })
    for (let start = 0, turn = 0; start < bytes.length; turn++) {
      const size = sizes[turn % sizes.length]! + 1
      parser.receive(bytes.subarray(start, start + size))
      start += size
    }
    return announcedCount === tokens.length && JSON.stringify(seen) === JSON.stringify(tokens)
  }), { seed: 7, numRuns: 300 })
})

t.test('receive() returns false when an unterminated line exceeds the size limit', async t => {
  const parser = new TokenLineParser({ onToken: () => {}, onDone: () => {}, onUnknownLine: () => {} })
  let isWithinLimit = true
  for (let i = 0; i < 20 && isWithinLimit; i++) isWithinLimit = parser.receive(Buffer.alloc(8192, 'x'))
  t.notOk(isWithinLimit)
})

t.test('unknown lines are reported and do not end the stream', async t => {
  const unknown: string[] = []
  const tokens: string[] = []
  const parser = new TokenLineParser({ onToken: (_, literal) => tokens.push(literal), onDone: () => {}, onUnknownLine: line => unknown.push(line) })
  parser.receive(Buffer.from('data: {broken\nevent: x\ndata: {"o":0,"t":"a","extra":1}\ndata: {"o":1,"t":"q\\"q"}\n'))
  t.same(tokens, ['"a"', '"q\\"q"'])
  t.same(unknown, ['data: {broken', 'event: x'])
})
