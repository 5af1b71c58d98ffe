import { setTimeout as delay } from 'node:timers/promises'
import t from 'tap'
import { VersionedFleet } from '../../../../playground/platform/versionedFleet.js'
import { versionConstants } from '../../gateway/versions/constants.js'

const streamCount = 20
const twoVersions = { 'i-old': 'v1', 'i-new': 'v2' }
const allWentOn = { wentOn: streamCount, joined: 0, refused: 0 }

t.test('streams of a service with upstreams of two software versions', { timeout: 60_000 }, async t => {
  const fleet = await new VersionedFleet().start(2, twoVersions)
  t.teardown(async () => { await fleet.stop() })

  t.test('guards against a stream that clients take up at another host and that goes on at another version', async t => {
    const streams = await fleet.startBrokenStreams(fleet.hosts[0]!, streamCount, 'moved')
    t.same(new Set(streams.map(stream => stream.version)), new Set(['v1', 'v2']))
    t.same(await fleet.resumeAll(fleet.hosts[1]!, streams), allWentOn)
  })

  t.test('guards against a stream that goes on at another version after all hosts were lost', async t => {
    const streams = await fleet.startBrokenStreams(fleet.hosts[0]!, streamCount, 'lost')
    t.same(new Set(streams.map(stream => stream.version)), new Set(['v1', 'v2']))
    await fleet.stopHosts()
    t.same(await fleet.resumeAll(await fleet.startHost(), streams), allWentOn)
  })

  t.test('guards against a response whose upstream ends and that goes on at another version', async t => {
    const host = fleet.hosts[0]!
    for (const id of Object.keys(twoVersions)) await fleet.addUpstream(`${id}-2`, twoVersions[id as keyof typeof twoVersions])
    for (const id of ['i-old-2', 'i-new-2']) await host.waitForLogLine('upstream added', id)
    const streams = Promise.all(Array.from({ length: streamCount }, async (_, i) => await fleet.send(host, `broken-${i}`)))
    await new Promise(resolve => setTimeout(resolve, 600))
    for (const id of ['i-old', 'i-new']) fleet.upstreams.get(id)!.stop()
    const versions = (await streams).map(({ body }) => new Set([...body.matchAll(/data: (\S+)/g)].map(match => match[1])).size)
    t.same(versions, Array(streamCount).fill(1))
    t.ok((await streams).every(({ isComplete }) => isComplete))
  })

  t.test('guards against a stream that goes on at another version when its own has left', async t => {
    const host = fleet.hosts[0]!
    await fleet.removeVersion(['i-old', 'i-new'])
    const streams = await fleet.startBrokenStreams(host, streamCount, 'left')
    const oldCount = streams.filter(stream => stream.version === 'v1').length
    await fleet.removeVersion(['i-old-2'])
    t.same(await fleet.resumeAll(host, streams), { wentOn: streamCount - oldCount, joined: 0, refused: oldCount })
  })
})

t.test('streams of two software versions after a restore of the store', { timeout: 60_000 }, async t => {
  const fleet = await new VersionedFleet().start(2, twoVersions)
  t.teardown(async () => { await fleet.stop() })
  const [first, second] = fleet.hosts
  const copy = fleet.store.createCopy()
  const streams = await fleet.startBrokenStreams(first!, streamCount, 'restored')
  t.same(new Set(streams.map(stream => stream.version)), new Set(['v1', 'v2']))
  // By then the other host has the records of both versions.
  await delay(1500)
  await fleet.stopHost(first!)
  fleet.store.applyCopy(copy)

  t.test('guards against a stream of a lost host that goes on at another version', async t => {
    t.same(await fleet.resumeAll(second!, streams), allWentOn)
  })

  t.test('guards against a stream that goes on at another version at a host that starts later', async t => {
    const late = await fleet.startHost()
    await second!.waitForLogLine('lost stream records written')
    await delay(versionConstants.restoreMs)
    t.same(await fleet.resumeAll(late, streams), allWentOn)
  })
})
