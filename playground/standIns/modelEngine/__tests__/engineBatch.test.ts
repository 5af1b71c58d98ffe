import t from 'tap'
import { EngineBatch } from '../engineBatch.js'
import { EngineStream } from '../engineStream.js'

const options = { slots: 2, stepMs: 10, prefillMsPer1kChars: 100, cacheChars: 3000 }

function createStream (id: string, priority: number, length = 100): EngineStream {
  return new EngineStream(id, `marker:${id} length:${length}`, 1000, priority)
}

t.test('gives a free slot to the waiting stream with the highest priority', t => {
  const batch = new EngineBatch({ ...options, slots: 1, prefillMsPer1kChars: 0 })
  const streams = [createStream('first', 0, 2), createStream('low', 1), createStream('high', 5)]
  streams.forEach(stream => batch.addStream(stream, 0))
  batch.runSteps(20)
  t.same(streams.map(stream => stream.state), ['completed', 'waiting', 'running'])
  t.end()
})

t.test('gives every running stream one token in each step', t => {
  const batch = new EngineBatch({ ...options, prefillMsPer1kChars: 0 })
  const streams = [createStream('a', 0), createStream('b', 0), createStream('c', 0)]
  streams.forEach(stream => batch.addStream(stream, 0))
  batch.runSteps(35)
  t.same(streams.map(stream => stream.producedTokens), [3, 3, 0])
  batch.runSteps(41)
  t.same(streams.map(stream => stream.producedTokens), [4, 4, 0])
  t.end()
})

t.test('shortens the prefill when the prefix of the prompt is cached', t => {
  const batch = new EngineBatch(options)
  const prompt = 'context '.repeat(125)
  const first = new EngineStream('a', prompt + 'length:50', 100, 0)
  batch.addStream(first, 0)
  batch.runSteps(200)
  const second = new EngineStream('b', prompt + 'length:40', 100, 0)
  batch.addStream(second, 200)
  t.ok(first.prefillEndsAtMs >= 100, 'prefill of the whole prompt')
  t.ok(second.prefillEndsAtMs < 210, 'prefill of the part that is not cached')
  t.end()
})

t.test('evicts the least recently used prefix and records the events in order', t => {
  const batch = new EngineBatch(options)
  for (const id of ['a', 'b', 'c', 'd']) batch.cache.addPrompt(id.repeat(1000), 0)
  t.equal(batch.cache.countCachedChars('a'.repeat(1000)), 0)
  t.equal(batch.cache.countCachedChars('d'.repeat(1000)), 1000)
  t.same(batch.cache.listEvents(0, 0).map(event => [event.seq, event.type]), [[1, 'stored'], [2, 'stored'], [3, 'stored'], [4, 'stored'], [5, 'evicted']])
  t.end()
})

t.test('frees the slot of a cancelled stream', t => {
  const batch = new EngineBatch({ ...options, slots: 1 })
  const streams = [createStream('a', 0), createStream('b', 0)]
  streams.forEach(stream => batch.addStream(stream, 0))
  batch.cancelStream(streams[0] as EngineStream, 5)
  t.same(streams.map(stream => stream.state), ['cancelled', 'running'])
  t.end()
})
