import t from 'tap'
import { AnswerCutOffError } from '../answerCutOffError.js'
import { errors } from 'undici'
import { isProtocolError } from '../isProtocolError.js'
import { OversizedAnswerError } from '../oversizedAnswerError.js'
import { UpstreamConnectError } from '../upstreamConnectError.js'
import { UpstreamResponseMismatchError } from '../upstreamResponseMismatchError.js'

const parserError = new errors.HTTPParserError('Response does not match the HTTP/1.1 protocol')
const lengthError = new errors.ResponseContentLengthMismatchError()
/** Errors of exchanges, with whether the upstream closed the connection in order. */
const failures: ReadonlyArray<readonly [name: string, error: Error, wasClosed: boolean, isProof: boolean]> = [
  ['bytes that are no answer', parserError, false, true],
  ['a bad head after a length', lengthError, false, true],
  ['a head over the limit of the parser', new errors.HeadersOverflowError(), false, true],
  ['framing or a body over a limit', new OversizedAnswerError('more than 20480 bytes without a body'), false, true],
  ['a switch to another protocol', new errors.SocketError('bad upgrade'), false, true],
  ['a close within a chunk', parserError, true, false],
  ['a close before the stated length', lengthError, true, false],
  ['a close before the head', new errors.SocketError('other side closed'), true, false],
  ['a reset', new AnswerCutOffError('reset before the end of the answer'), false, false],
  ['an interim response that was not asked for', new errors.SocketError('bad response'), false, false],
  ['a copy of an earlier answer', new UpstreamResponseMismatchError('response to r-1 instead of r-2'), false, false],
  ['a time-out', new errors.HeadersTimeoutError(), false, false],
  ['a connection that was not opened', new UpstreamConnectError('did not accept a connection'), false, false],
  ['an error of this host', new TypeError('x is not a function'), false, false]
]

t.test('guards against failures of the path or of this host that pass for a fault of the upstream, and the reverse', async t => {
  for (const [name, error, wasClosed, isProof] of failures) t.equal(isProtocolError(error, wasClosed), isProof, name)
})
