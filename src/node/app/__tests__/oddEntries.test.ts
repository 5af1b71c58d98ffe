import t from 'tap'
import { buildStandInAnswer } from '../../../../playground/platform/buildStandInAnswer.js'
import { GatewayTestHarness } from '../../../../playground/platform/gatewayTestHarness.js'
import { standInAnswers } from '../../../../playground/platform/standInAnswers.js'
import { UpstreamStandIn } from '../../../../playground/platform/upstreamStandIn.js'

const depth = 200_000
const nestedArrays = '['.repeat(depth) + ']'.repeat(depth)
const nestedObjects = '{"a":'.repeat(depth) + '1' + '}'.repeat(depth)
const services = ['shop', 'llm', 'oven']
const requestsPerRoute = 20

/** Texts of entries of another writer for an upstream of a service. */
function listOddEntries (service: string): readonly string[] {
  const buildEntry = (fields: Readonly<Record<string, string>>): string => {
    const sound = { service: `"${service}"`, address: '"127.0.0.1:1"', zone: '"quay-a"', slots: '4', state: '"ready"' }
    const all = { ...sound, born: '1', ...fields }
    return `{${Object.entries(all).map(([name, text]) => `"${name}":${text}`).join()}}`
  }
  return [
    nestedArrays,
    nestedObjects,
    ...['zone', 'slots', 'address', 'born'].flatMap(name => {
      return [buildEntry({ [name]: nestedArrays }), buildEntry({ [name]: nestedObjects })]
    }),
    ...['1e400', '-1e400', '0', '-1', '1e309'].map(slots => buildEntry({ slots })),
    ...['1e400', '1e308', '-1', '1.5', '9'.repeat(400)].map(born => buildEntry({ born })),
    ...['0', '-1', '65536', '99999', '4294967296', '1e3', '', '80:80'].map(port => `127.0.0.1:${port}`)
      .concat('999.0.0.1:80', '256.256.256.256:1', ':80', '127.0.0.1')
      .map(address => buildEntry({ address: `"${address}"` }))
  ]
}

t.test('guards against an odd entry that ends a host or harms requests', { timeout: 60_000 }, async t => {
  const fleet = await new GatewayTestHarness().start()
  const { sendPlain, sendEvents, sendPieceResults } = standInAnswers
  const upstreams = await Promise.all(Object.entries({ shop: sendPlain, llm: sendEvents, oven: sendPieceResults })
    .map(async ([service, answer]) => await new UpstreamStandIn(`i-${service}`, answer).start()))
  const sendOk: UpstreamStandIn['answer'] = (request, socket) => { socket.write(buildStandInAnswer(request)) }
  const late = await new UpstreamStandIn('i-late', sendOk).start()
  const unexpected: unknown[] = []
  const onUnexpected = (error: unknown): void => { unexpected.push(error) }
  process.on('uncaughtExceptionMonitor', onUnexpected)
  t.teardown(async () => {
    process.off('uncaughtExceptionMonitor', onUnexpected)
    await fleet.stop()
    for (const upstream of [...upstreams, late]) upstream.stop()
  })
  const version = fleet.writeConfiguration({
    services: [
      { name: 'shop', connectionLimit: 100 },
      { name: 'llm', connectionLimit: 100, engine: { slots: 8, kvCacheTokens: 100_000 } },
      {
        name: 'oven',
        connectionLimit: 100,
        pieces: { slots: 1, queue: 2, batch: 8, callMs: 20, itemMs: 1, headroomMb: 10, handleS: 4, linkMbps: 1000 }
      }
    ],
    routes: [
      { name: 'read', pathPrefix: '/read/', service: 'shop' },
      { name: 'order', pathPrefix: '/order/', kind: 'unsafe', service: 'shop' },
      { name: 'ask', pathPrefix: '/ask/', kind: 'streaming', service: 'llm' },
      {
        name: 'plan',
        pathPrefix: '/plan/',
        kind: 'streaming',
        service: 'llm',
        stages: [{ service: 'oven', after: [], bytes: 10 }]
      }
    ]
  })
  for (const [i, service] of services.entries()) {
    fleet.addUpstream(upstreams[i]!, service)
    for (const [k, text] of listOddEntries(service).entries()) {
      fleet.store.write(`servers/i-odd-${service}-${k}`, Buffer.from(text))
    }
  }
  // A field that is not known does not make an entry odd, whatever it holds.
  const lateFields = `"service":"shop","address":"${late.address}","zone":"quay-a","slots":1e308,"state":"ready"`
  const lateEntry = `{${lateFields},"other":${nestedArrays}}`
  fleet.store.write('servers/i-late', Buffer.from(lateEntry))
  await fleet.waitForLogLine('configuration in force', `"version":${version}`)
  await fleet.waitForLogLine('upstream added', 'i-late')

  for (const path of ['/read/x', '/order/x', '/ask/x', '/plan/x']) {
    const prompt = { 'x-token-counts': '100,10', 'x-prompt-prefix': 'shared:50,own:50' }
    const headers = { ...prompt, 'x-pieces': '2', 'x-piece-key': 'k' }
    const statuses: number[] = []
    for (let i = 0; i < requestsPerRoute; i++) {
      statuses.push((await fleet.send(path, { method: path === '/order/x' ? 'POST' : 'GET', headers })).status)
    }
    t.same(statuses.filter(status => status !== 200), [], path)
  }
  const added = fleet.logLines.filter(line => line.includes('"upstream added"') && line.includes('i-odd'))
  t.same(added, [], 'no odd entry names an upstream')

  // A connection that breaks and a service without upstreams lead to checks of the addresses.
  upstreams[0]!.stop()
  late.stop()
  t.match(await fleet.send('/read/x'), { status: /^50[234]$/ })
  t.match(await fleet.send('/ask/x'), { status: 200 })
  t.same(unexpected, [])
  t.same(fleet.logLines.filter(line => /unexpected/.test(line)), [])
})
