import { setTimeout as delay } from 'node:timers/promises'
import { ClientStream, describeMakers } from '../lib-2/streamRecords.mjs'
import { createModelRunner } from '../lib-2/modelRunner.mjs'
import { Link } from '../lib-2/link.mjs'
import { runCase } from '../lib-2/runCase.mjs'

const streamCount = 36
const path = '/fire75/1b'
/** Clients abandon a stream after a gap of two seconds, four times the objective or eight times the pause. */
const clientGapMs = 2000
const service = 'llm'

await runCase(new URL('.', import.meta.url).pathname, 'order-restore', async (deployment, hasTrouble) => {
  await deployment.start()
  await deployment.addHost()
  await deployment.addHost()
  const [first, second] = deployment.hosts
  deployment.configure({
    services: [{ name: service, connectionLimit: 280, engine: { slots: 64, kvCacheTokens: 423_475 } }],
    routes: [{ name: 'signal', pathPrefix: '/fire75/', kind: 'streaming', service, resumeStreams: true, timeoutMs: 20_000, targetLatencyMs: 500, targetGapMs: 250, maxAttempts: 2 }]
  })
  const answer = createModelRunner({
    last: 100,
    gapMs: 100,
    onRun: (request, { id, version }) => {
      const { 'last-event-id': after = '-', resumes = '-' } = request.headers
      deployment.record(`runner ${id} (${version}) runs ${request.id}, after event ${after}, resumes ${resumes}`)
    }
  })
  for (const [id, version] of [['i-1', 'v1'], ['i-2', 'v1'], ['i-3', 'v1'], ['i-4', 'v2'], ['i-5', 'v2']]) {
    await deployment.addUpstream(id, service, answer, { version, slots: 64 })
  }
  // Clients reach the first machine by this path, which goes dark when the machine loses its power.
  const path1 = await deployment.addPart(new Link(first.front))
  await deployment.startHosts()
  await delay(500)
  const createStream = id => new ClientStream({ deployment, id, path, timeLeftMs: 20_000 })
  // Both machines have served streams for some seconds before.
  await Promise.all([first, second].map(async (host, i) => { await createStream(`before-${i}`).begin(host.front, clientGapMs) }))

  const copy = deployment.store.copy()
  deployment.record('the store takes a copy')
  await delay(500)
  const streams = Array.from({ length: streamCount }, (_, i) => createStream(`stream-${i}`))
  const begun = streams.map(async stream => {
    await stream.begin(path1.address, clientGapMs)
    await stream.takeUp(second.front)
  })
  await delay(3000)
  if (hasTrouble) {
    deployment.record('front-1 loses its power and the store is away')
    path1.cutSilently()
    await first.kill()
    deployment.store.goAway()
    await delay(1000)
    deployment.store.restore(copy)
    deployment.record('the store is back from its copy, which is 4.5 s old')
  } else {
    deployment.record('the clients of front-1 break their connections off')
    for (const stream of streams) stream.connection.close()
  }
  await Promise.all(begun)
  const joined = streams.filter(stream => stream.versions.length > 1)
  for (const stream of joined) deployment.record(`${stream.id} holds events of ${describeMakers(stream.events)}`)
  const whole = streams.filter(stream => stream.isComplete && stream.versions.length === 1).length
  return { breaks: joined.length, allowed: 2, summary: `${streamCount} streams: ${whole} whole and of one version, ${joined.length} of two versions (2 allowed)` }
})
