import t from 'tap'
import { engineConstants } from '../constants.js'
import { PromptCacheIndex } from '../promptCacheIndex.js'

const { cacheLifetimeMs, maxCachedParts, maxPartIdLength } = engineConstants
const part = (id: string) => ({ id, tokens: 10 })

t.test('guards against prompt parts that stay in memory after they have left the caches', async t => {
  const index = new PromptCacheIndex()
  for (let i = 0; i < 1000; i++) index.recordPrompt(`engine-${i % 100}`, [part('shared'), part(`own-${i}`)], i)
  t.equal(index.partCount, 1001)
  index.recordPrompt('engine-0', [part('shared'), part('last')], cacheLifetimeMs + 2000)
  t.equal(index.partCount, 2)
  t.equal(index.countCachedTokens('engine-0', [part('shared'), part('last')], cacheLifetimeMs + 2000), 20)
  t.equal(index.countCachedTokens('engine-1', [part('shared')], cacheLifetimeMs + 2000), 0)
})

t.test('guards against prompt parts that fill the memory within their lifetime', async t => {
  const index = new PromptCacheIndex()
  for (let i = 0; i < maxCachedParts + 100; i++) index.recordPrompt('engine', [part(`own-${i}`)], 0)
  t.equal(index.partCount, maxCachedParts)
  t.equal(index.countCachedTokens('engine', [part('own-0')], 0), 0)
  t.equal(index.countCachedTokens('engine', [part(`own-${maxCachedParts}`)], 0), 10)
  index.recordPrompt('engine', [part('x'.repeat(maxPartIdLength + 1))], 0)
  t.equal(index.partCount, maxCachedParts)
})

t.test('an engine that is gone has no cached parts, and the others keep theirs', async t => {
  const index = new PromptCacheIndex()
  for (const engine of ['a', 'b']) index.recordPrompt(engine, [part('shared')], 0)
  index.removeEngine('a')
  t.equal(index.countCachedTokens('a', [part('shared')], 0), 0)
  t.equal(index.countCachedTokens('b', [part('shared')], 0), 10)
  t.equal(index.countCachedTokens('b', [part('shared'), part('other')], 0), 10)
})
