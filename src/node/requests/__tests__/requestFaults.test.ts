import { setTimeout as waitTime } from 'node:timers/promises'
import t from 'tap'
import { RequestTestFleet } from '../../../../playground/fakes/requestTestFleet.js'
import { createSeededRandom } from '../../../shared/createSeededRandom.js'

t.test('under random faults of all upstreams, each caller gets its own complete answer or a typed error', async t => {
  const fleet = await new RequestTestFleet({ hosts: 3, streamSilenceMs: 150 }).start()
  t.teardown(async () => await fleet.stop())
  const random = createSeededRandom(20261204)
  for (const host of fleet.hosts) host.router.hedgeAfterMs = 30
  const delayedResponses: Array<() => void> = []
  for (const upstream of [...fleet.engines, ...fleet.stagePoolMembers]) {
    upstream.tokenDelayMs = 2
    upstream.onCall = async (call, response) => {
      const draw = random()
      if (draw < 0.06) response.destroy()
      else if (draw < 0.12) await waitTime(random() * 120)
      else if (draw < 0.15) return true
      else if (draw < 0.2) setTimeout(() => response.destroy(), 10)
      else if (draw < 0.3 && call.path.startsWith('/v1/e')) {
        // The response is held until the next such call; both are then sent in reverse order.
        delayedResponses.push(() => response.end(JSON.stringify({ call_id: call.body.call_id, output: call.body.input })))
        if (delayedResponses.length > 1) delayedResponses.splice(0).reverse().forEach(send => send())
        return true
      }
      return false
    }
  }
  const outcomes = { complete: 0, failed: 0 }
  await Promise.all(Array.from({ length: 120 }, async (_, index) => {
    await waitTime(index * 5)
    const isQuery = index % 2 === 0
    const body = { kind: isQuery ? 'query' : 'tag', input: { text: `marker:c${index} length:${10 + index % 20}` } }
    const answer = await fleet.hosts[index % 3]!.send('POST', '/v1/requests', body)
    const value = JSON.parse(answer.text) as { text?: string, result?: unknown, error?: { code: string, ran: string } }
    if (answer.status !== 200) {
      outcomes.failed++
      t.ok(value.error?.code !== 'internal_error' && value.error?.ran !== undefined, answer.text)
      return
    }
    outcomes.complete++
    const expected = Array.from({ length: 10 + index % 20 }, (_, i) => `c${index}.${i} `).join('')
    if (isQuery) t.equal(value.text, expected)
    else t.match(JSON.stringify(value.result), `marker:c${index} `)
  }))
  t.ok(outcomes.complete > 60, `${outcomes.complete} complete, ${outcomes.failed} failed`)
  t.comment(JSON.stringify(outcomes))
})
