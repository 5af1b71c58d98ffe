import { setTimeout as delay } from 'node:timers/promises'
import { AddressBook } from '../lib-2/addressBook.mjs'
import { ClientStream, describeMakers } from '../lib-2/streamRecords.mjs'
import { createModelRunner } from '../lib-2/modelRunner.mjs'
import { Link } from '../lib-2/link.mjs'
import { runCase } from '../lib-2/runCase.mjs'

const hostCount = 4
const streamCount = 160
const path = '/fire75/1b'
const service = 'llm'
const timeLeftMs = 20_000
const targetLatencyMs = 500
const targetGapMs = 250
/** Clients abandon a stream after a gap of two seconds, four times the objective or eight times the pause. */
const gapMs = Math.max(2000, 4 * targetLatencyMs, 8 * targetGapMs)
const zones = ['north-pier', 'south-pier', 'faculty-hall', 'port-office']
/** How long a machine without power stays dark; the site file names 3.5 s. */
const darkMs = 3500
const storeAwayMs = 1000

await runCase(new URL('.', import.meta.url).pathname, 'order-restore', async (deployment, hasTrouble) => {
  await deployment.start()
  for (let i = 0; i < hostCount; i++) await deployment.addHost()
  const { hosts } = deployment
  const [first] = hosts
  deployment.configure({
    services: [{ name: service, connectionLimit: 280, engine: { slots: 64, kvCacheTokens: 423_475 } }],
    routes: [{ name: 'signal', pathPrefix: '/fire75/', kind: 'streaming', service, resumeStreams: true, timeoutMs: timeLeftMs, targetLatencyMs, targetGapMs, maxAttempts: 2 }]
  })
  const answer = createModelRunner({
    last: 100,
    gapMs: 100,
    onRun: (request, { id, version }) => {
      const { 'last-event-id': after = '-', resumes = '-' } = request.headers
      deployment.record(`runner ${id} (${version}) runs ${request.id}, after event ${after}, resumes ${resumes}`)
    }
  })
  for (const [index, version] of ['v1', 'v1', 'v1', 'v2', 'v2'].entries()) {
    await deployment.addUpstream(`i-${index + 1}`, service, answer, { version, slots: 64, zone: zones[index % zones.length] })
  }
  // Clients reach the first machine by this path, which goes dark when the machine loses its power.
  const path1 = await deployment.addPart(new Link(first.front))
  await deployment.startHosts()
  await delay(1000)
  const createStream = id => new ClientStream({ deployment, id, path, timeLeftMs, gapMs })
  const createPick = index => {
    const book = new AddressBook(hosts, zones[index % zones.length])
    return async failed => {
      const failedHosts = new Set(hosts.filter(host => failed.has(host === first ? path1.address : host.front)))
      const host = await book.pick(failedHosts)
      return host === first ? path1.address : host.front
    }
  }
  // All machines have served streams for some seconds before.
  await Promise.all(Array.from({ length: 8 }, async (_, i) => { await createStream(`before-${i}`).run(createPick(i)) }))

  const copy = deployment.store.copy()
  deployment.record('the store takes a copy')
  await delay(500)
  const streams = Array.from({ length: streamCount }, (_, i) => createStream(`stream-${i}`))
  const ended = Promise.all(streams.map(async (stream, i) => {
    const pick = createPick(i)
    await stream.run(async failed => {
      const address = await pick(failed)
      stream.firstAddress ??= address
      return address
    })
  }))
  await delay(3000)
  const ofFirst = streams.filter(stream => stream.firstAddress === path1.address)
  if (hasTrouble) {
    deployment.record(`front-1 loses its power, with ${ofFirst.length} streams, and the store is away`)
    path1.cutSilently()
    await first.kill()
    deployment.store.goAway()
    await delay(storeAwayMs)
    deployment.store.restore(copy)
    deployment.record('the store is back from its copy, which is 4.5 s old')
    await delay(darkMs - storeAwayMs)
    first.start()
    path1.heal()
    deployment.record('front-1 has power again')
  } else {
    deployment.record(`the clients of front-1 break ${ofFirst.length} connections off`)
    for (const stream of ofFirst) stream.breakOff()
  }
  await ended
  const joined = streams.filter(stream => stream.versions.length > 1)
  for (const stream of joined) deployment.record(`${stream.id} holds events of ${describeMakers(stream.events)}`)
  const whole = streams.filter(stream => stream.isComplete && stream.versions.length === 1).length
  return { breaks: joined.length, allowed: 2, summary: `${streamCount} streams, ${ofFirst.length} of them at front-1: ${whole} whole and of one version, ${joined.length} of two versions (2 allowed)` }
})
