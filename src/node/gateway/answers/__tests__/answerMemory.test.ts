import t from 'tap'
import { AnswerMemory } from '../answerMemory.js'
import { computeAnswerMemory } from '../computeAnswerMemory.js'
import { CountingMetrics } from '../../../../../playground/fakes/countingMetrics.js'
import { silentLogger } from '../../../../../playground/fakes/silentLogger.js'
import type { HeldAnswer } from '../heldAnswer.js'

const limitBytes = 1000

t.test('guards against answers of one upstream that take the memory of all others', async t => {
  const memory = new AnswerMemory({ limitBytes, logger: silentLogger, metrics: new CountingMetrics() })
  const evicted: string[] = []
  const sizes = new Map<string, number>()
  const answers = new Map<string, HeldAnswer>()
  const update = (name: string, bytes: number): void => {
    sizes.set(name, bytes)
    const answer = answers.get(name) ?? {
      upstreamId: name.split('-')[0]!,
      countBytes: () => sizes.get(name)!,
      onEvicted: () => { evicted.push(name) }
    }
    answers.set(name, answer)
    memory.update(answer, bytes)
  }
  update('sound-1', 400)
  for (let bytes = 100; bytes <= 300; bytes += 100) {
    update('faulty-1', bytes)
    update('faulty-2', bytes)
    update('faulty-3', bytes - 50)
  }
  t.same(evicted, ['faulty-1'], 'the largest answer of the upstream whose answers hold most')
  memory.remove(answers.get('faulty-2')!)
  update('late-1', 340)
  t.same(evicted, ['faulty-1'], 'within the limit again')
  sizes.set('sound-1', 10)
  update('late-2', 300)
  t.same(evicted, ['faulty-1'], 'what clients have read meanwhile does not count')
  update('late-1', 2000)
  t.same(evicted, ['faulty-1', 'late-1'], 'the answer that has just grown gives way too')
})

t.test('the memory for answers follows that of the machine and has room for one answer', async t => {
  t.matchSnapshot([160, 256, 350, 870].map(megabytes => ({ megabytes, answerBytes: computeAnswerMemory(megabytes * 1_048_576) })))
})
