import t from 'tap'
import { RequestEntry } from '../requestEntry.js'
import { RequestRegistry } from '../requestRegistry.js'

const addFinished = (registry: RequestRegistry, requestId: string, nowMs: number): RequestEntry => {
  const entry = new RequestEntry({ account: 'pier', requestId, bodyHash: 'h' })
  registry.add(entry)
  entry.close({ kind: 'done', tokenCount: 0, result: { text: 'x'.repeat(1000) } })
  registry.onFinished(entry, nowMs)
  return entry
}

t.test('finished answers are removed after the retention time', async t => {
  const registry = new RequestRegistry(60_000, 1e9)
  const entry = addFinished(registry, 'a', 0)
  registry.removeExpired(59_999)
  t.equal(registry.find('pier', 'a'), entry)
  registry.removeExpired(60_000)
  t.equal(registry.find('pier', 'a'), undefined)
})

t.test('the oldest finished answers are removed beyond the byte limit, and running requests never are', async t => {
  const registry = new RequestRegistry(60_000, 10_000)
  const running = new RequestEntry({ account: 'pier', requestId: 'running', bodyHash: 'h' })
  registry.add(running)
  for (let i = 0; i < 20; i++) addFinished(registry, `r${i}`, i)
  t.equal(registry.find('pier', 'running'), running)
  t.equal(registry.find('pier', 'r0'), undefined)
  t.ok(registry.find('pier', 'r19'))
  t.equal(registry.runningCount, 1)
  t.ok(registry.list().length <= 5)
})

t.test('an id can be submitted again while a stopped request with that id is still ending', async t => {
  const registry = new RequestRegistry()
  const first = new RequestEntry({ account: 'pier', requestId: 'a', bodyHash: 'h' })
  registry.add(first)
  const second = new RequestEntry({ account: 'pier', requestId: 'a', bodyHash: 'h' })
  registry.add(second)
  registry.remove(first)
  t.equal(registry.find('pier', 'a'), second)
})
