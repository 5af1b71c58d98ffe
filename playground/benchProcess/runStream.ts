import type { Dispatcher } from 'undici'
import { v7 as createRequestId } from 'uuid'
import { AnswerCheck } from '../caller/answerCheck.js'
import type { BenchTarget } from './benchTarget.js'
import { benchConstants } from './constants.js'
import type { StreamResult } from './streamResult.js'

interface StreamOptions {
  readonly target: BenchTarget
  readonly dispatcher: Dispatcher
  readonly kind: string
  readonly tokenCount: number
  /** Called for each part of the answer that contains tokens; `gapMs` is the time since the previous such part, undefined for the first. */
  readonly onTokens: (count: number, gapMs: number | undefined) => void
}

/** Reads one generated answer and checks every token. */
export async function runStream (options: StreamOptions): Promise<StreamResult> {
  const { target, dispatcher, tokenCount, onTokens } = options
  const requestId = createRequestId()
  const marker = `m-${requestId}`
  const check = new AnswerCheck({ marker, tokenCount })
  const startMs = performance.now()
  let firstTokenMs = 0
  let lastMs: number | undefined
  let fault: string | undefined = 'the answer ended without its last event'
  let rest = ''
  try {
    const answer = await dispatcher.request(buildCall(options, requestId, marker))
    if (answer.statusCode !== 200) return { firstTokenMs, endedAtMs: performance.now(), fault: `status ${answer.statusCode}: ${await answer.body.text()}` }
    for await (const chunk of answer.body) {
      const before = check.receivedTokenCount
      const blocks = (rest + chunk).split('\n\n')
      rest = blocks.pop() ?? ''
      for (const block of blocks) {
        const end = target.path === 'direct' ? handleEngineBlock(block, check, tokenCount) : handleEvent(block, check, requestId)
        if (end !== undefined) fault = end.fault
      }
      const count = check.receivedTokenCount - before
      if (count === 0) continue
      const nowMs = performance.now()
      onTokens(count, lastMs === undefined ? undefined : nowMs - lastMs)
      firstTokenMs ||= nowMs - startMs
      lastMs = nowMs
    }
  } catch (error) {
    fault = String(error)
  }
  return { firstTokenMs, endedAtMs: performance.now(), fault }
}

function buildCall ({ target, kind, tokenCount }: StreamOptions, requestId: string, marker: string): Dispatcher.RequestOptions {
  const text = `marker:${marker} length:${tokenCount}`
  const base = { origin: `http://${target.address}`, method: 'POST', headersTimeout: 0, bodyTimeout: 0 } as const
  if (target.path === 'direct') {
    return { ...base, path: '/v1/completions', body: JSON.stringify({ stream_id: `bench/${requestId}/answer/1`, model: 'bench', prompt: text, max_tokens: tokenCount, priority: 5 }) }
  }
  return {
    ...base,
    path: '/v1/requests',
    headers: { authorization: `Bearer ${target.token}`, 'content-type': 'application/json', 'request-id': requestId },
    body: JSON.stringify({ kind, input: { text }, stream: true, deadlineMs: benchConstants.deadlineMs })
  }
}

/** End of a stream; `fault` is undefined when the answer was complete and correct. */
interface StreamEnd {
  readonly fault: string | undefined
}

/** Handles a block of an engine's stream; undefined while the stream goes on. */
function handleEngineBlock (block: string, check: AnswerCheck, tokenCount: number): StreamEnd | undefined {
  if (!block.startsWith('data: ')) return undefined
  const data = JSON.parse(block.slice(6))
  if (data.done) return { fault: check.receivedTokenCount === tokenCount ? undefined : `${check.receivedTokenCount} of ${tokenCount} tokens` }
  // `o` is the offset of the token and `t` its text. Engine streams have no generations, so it is always 0.
  const fault = check.addTokens(`0:${Number(data.o) + 1}`, [data.t])
  return fault === undefined ? undefined : { fault }
}

/** Handles an event of a host's stream; undefined while the stream goes on. */
function handleEvent (block: string, check: AnswerCheck, requestId: string): StreamEnd | undefined {
  const event = /^event: (\w+)$/m.exec(block)?.[1]
  if (event === undefined) return undefined
  const data = JSON.parse(/^data: (.*)$/m.exec(block)?.[1] ?? '{}')
  if (event === 'done') return { fault: check.validateDone(requestId, data) }
  if (event !== 'tokens') return { fault: `${event} ${JSON.stringify(data)}` }
  const fault = check.addTokens(/^id: (.*)$/m.exec(block)?.[1] ?? '', data.tokens)
  return fault === undefined ? undefined : { fault }
}
