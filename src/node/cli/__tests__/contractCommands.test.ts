import t from 'tap'
import { createTestDependencies } from './createTestDependencies.js'
import { createTestServer } from './createTestServer.js'
import { runCommandLine } from '../runCommandLine.js'
import type { CommandLineDependencies } from '../commandLineDependencies.js'

const contract = {
  account: 'pier',
  tokenDigests: ['aa'],
  requestsPerSecond: 5,
  tokensPerSecond: 900,
  kinds: { 'signal-query': { deadlineMs: 2000, priority: 5, stages: [{ name: 'encode', pool: 'encoders', after: [] }, { name: 'answer', pool: 'runners', after: ['encode'] }] } }
}
const changed = {
  ...contract,
  requestsPerSecond: 6,
  kinds: { 'signal-query': { ...contract.kinds['signal-query'], stages: [...contract.kinds['signal-query'].stages].reverse(), deadlineMs: 1500 }, 'status-read': {} }
}
const revision = (number: number, value: object | null) => ({ account: 'pier', revision: number, contract: value, operator: 'dana', atMs: 1_700_000_000_000 + number, token: 't' })
const path = '/admin/v1/contracts/pier'

async function run (words: readonly string[], server: string, overrides: Partial<CommandLineDependencies> = {}) {
  const test = createTestDependencies({ environment: { LYCHEETRACK_SERVER: server, LYCHEETRACK_OPERATOR_TOKEN: 'operator' }, readTextFile: async () => JSON.stringify(changed), ...overrides })
  const status = await runCommandLine(['node', 'lycheetrack', ...words], test.dependencies)
  return { status, ...test }
}

t.test('apply sends the revision that it read and prints on how many hosts the change is in force', async t => {
  const inForce = [1, 1, 3, 4]
  const server = await createTestServer({
    [`GET ${path}`]: request => request.headers.authorization === 'Bearer operator' ? revision(7, contract) : { status: 401, error: { code: 'unauthorized' } },
    [`PUT ${path}`]: () => revision(8, changed),
    [`GET ${path}/status`]: () => ({ accepted: 8, inForce: inForce.shift(), hosts: 4, perHost: [] })
  })
  const { status, output } = await run(['contract', 'apply', 'pier.json', '--wait'], server.address)
  t.equal(status, 0)
  t.same(output, ['pier: accepted revision 8', 'pier: in force on 1 of 4 hosts', 'pier: in force on 3 of 4 hosts', 'pier: in force on 4 of 4 hosts'])
  t.same(server.calls.slice(0, 2), [`GET ${path}`, `PUT ${path} if-match 7`])
  await server.close()
})

t.test('apply stops waiting after the timeout', async t => {
  const server = await createTestServer({
    [`GET ${path}`]: () => revision(7, changed),
    [`GET ${path}/status`]: () => ({ accepted: 7, inForce: 3, hosts: 4, perHost: [] })
  })
  const { status, output, errors } = await run(['contract', 'apply', 'pier.json', '--wait', '--timeout-ms', '600'], server.address)
  t.equal(status, 1)
  t.same(output, ['pier: unchanged at revision 7', 'pier: in force on 3 of 4 hosts'])
  t.match(errors, [/revision 7 is not in force everywhere after 600 ms/])
  await server.close()
})

t.test('a revision conflict is printed with its code, and the other contracts of the file are applied', async t => {
  const server = await createTestServer({
    [`PUT ${path}`]: () => ({ status: 409, error: { code: 'revision_conflict', message: 'revision 3 was accepted' } }),
    'PUT /admin/v1/contracts/quay': () => ({ revision: 1 })
  })
  const readTextFile = async () => JSON.stringify([changed, { ...changed, account: 'quay' }])
  const { status, output, errors } = await run(['contract', 'apply', 'all.json'], server.address, { readTextFile })
  t.equal(status, 1)
  t.same(output, ['quay: accepted revision 1'])
  t.match(errors, [/pier: revision_conflict: revision 3 was accepted; another change/])
  t.match(server.calls, [`GET ${path}`, `GET ${path}/history`, `PUT ${path} if-match 0`])
  await server.close()
})

t.test('apply after a deletion sends the revision of the deletion', async t => {
  const server = await createTestServer({ [`GET ${path}/history`]: () => [revision(4, contract), revision(5, null)], [`PUT ${path}`]: () => revision(6, changed) })
  t.match(await run(['contract', 'apply', 'pier.json'], server.address), { status: 0, output: ['pier: accepted revision 6'] })
  t.equal(server.calls.at(-1), `PUT ${path} if-match 5`)
  await server.close()
})

t.test('apply reads the contract back when the response is lost', async t => {
  let stored = revision(1, contract) as object
  const server = await createTestServer({
    [`GET ${path}`]: () => stored,
    [`PUT ${path}`]: (_request, body, response) => {
      stored = revision(2, JSON.parse(body))
      response.destroy()
      return undefined
    }
  })
  const { status, output } = await run(['contract', 'apply', 'pier.json'], server.address)
  t.equal(status, 0)
  t.match(output, [/accepted revision 2 \(the response was lost/])
  await server.close()
})

t.test('diff, read, list, history and status print the contracts of the server', async t => {
  const server = await createTestServer({
    [`GET ${path}`]: () => revision(7, contract),
    'GET /admin/v1/contracts': () => ({ contracts: [revision(7, contract)] }),
    [`GET ${path}/history`]: () => ({ revisions: [revision(2, changed), revision(1, contract), revision(3, null)] }),
    [`GET ${path}/status`]: () => ({ accepted: 7, inForce: 1, hosts: 2, perHost: [{ hostId: 'host-1', revision: 7 }, { hostId: 'host-2', revision: 6 }] })
  })
  const shown: string[] = []
  for (const words of [['diff', 'pier.json'], ['read', 'pier'], ['list'], ['history', 'pier'], ['status', 'pier']]) {
    const { status, output } = await run(['contract', ...words], server.address)
    t.equal(status, 0)
    shown.push(`$ contract ${words.join(' ')}`, ...output)
  }
  t.matchSnapshot(shown.join('\n'))
  await server.close()
})

t.test('delete sends the revision that it read and fails for an account without a contract', async t => {
  const server = await createTestServer({ [`GET ${path}`]: () => revision(7, contract), [`DELETE ${path}`]: () => revision(8, null) })
  t.match(await run(['contract', 'delete', 'pier'], server.address), { status: 0, output: ['pier: accepted revision 8 (deleted)'] })
  t.match(server.calls, [`GET ${path}`, `DELETE ${path} if-match 7`])
  t.match(await run(['contract', 'delete', 'quay'], server.address), { status: 1, errors: ['error: account quay has no contract'] })
  await server.close()
})

t.test('watch prints each change once and reopens a broken stream', async t => {
  let opened = 0
  const stored = [revision(1, contract)]
  let interrupt = (): void => {}
  const server = await createTestServer({
    'GET /admin/v1/contracts': () => stored,
    'GET /admin/v1/contracts/watch': (_request, _body, response) => {
      opened++
      response.write('\n' + JSON.stringify(revision(1, contract)) + '\n')
      if (opened === 1) {
        stored[0] = revision(2, changed) as never
        response.end()
      } else {
        response.write(JSON.stringify(revision(3, null)) + '\n')
        setImmediate(() => interrupt())
      }
      return undefined
    }
  })
  const test = createTestDependencies({ environment: { LYCHEETRACK_SERVER: server.address, LYCHEETRACK_OPERATOR_TOKEN: 'operator' } })
  const done = new Promise<void>(resolve => { interrupt = resolve })
  const running = runCommandLine(['node', 'lycheetrack', 'contract', 'watch'], {
    ...test.dependencies,
    writeOutput: line => {
      test.output.push(line)
      if (line.includes('revision 3')) done.then(() => test.sendSignal('SIGINT'))
    }
  })
  t.equal(await running, 0)
  t.same(test.output.filter(line => line.includes('revision')).map(line => line.replace(/^.*revision/, 'revision')), ['revision 2  changed by dana', 'revision 3  deleted by dana'])
  await server.close()
})

t.test('route prints the addresses and drain waits until the host is gone', async t => {
  let drains = 0
  const server = await createTestServer({
    'GET /v1/route': () => ({ addresses: [{ address: '127.0.0.1:7101', failureDomain: 'quay-a' }], lifetimeMs: 5000 }),
    'POST /admin/v1/drain': (_request, _body, response) => {
      if (++drains < 3) return { state: 'leaving' }
      response.destroy()
      return undefined
    }
  })
  t.match(await run(['route', '--token', 'caller'], server.address), { status: 0, output: [/address/, '127.0.0.1:7101  quay-a', 'valid for 5000 ms'] })
  t.match(await run(['drain', '--wait'], server.address), { status: 0, output: ['drain started, host is leaving', 'host has stopped'] })
  await server.close()
})

t.test('responses that do not match the API are reported as invalid', async t => {
  const server = await createTestServer({
    'GET /admin/v1/contracts': (_request, _body, response) => { response.end('<html>') },
    'GET /v1/route': () => ({ hello: 1 })
  })
  t.match(await run(['contract', 'list'], server.address), { status: 1, errors: [/no JSON/, 'code: server_answer_invalid'] })
  t.match(await run(['route', '--token', 'x'], server.address), { status: 1, errors: [/unexpected form/, 'code: server_answer_invalid'] })
  await server.close()
})

t.test('burn writes the page to a file and filters by account', async t => {
  const counts = { total: 4, missed: 1, excluded: 0, attainment: 0.75, burnRate: 2.5 }
  const entry = { account: 'pier', kind: 'signal-query', objective: { attainment: 0.9, latencyMs: 500 }, windows: { '5m': counts, '1h': counts, '6h': counts }, budgetLeft: -1.5, causes: { codes: [], stages: [], upstreams: [] }, points: [] }
  const server = await createTestServer({ 'GET /admin/v1/burn': () => ({ atMs: 1_700_000_000_000, hostIds: ['host-1'], missingHostIds: [], omittedEntries: 0, entries: [entry, { ...entry, account: 'quay' }] }) })
  const page = await run(['burn', '--html', 'burn.html', '--account', 'pier'], server.address)
  t.match(page, { status: 0, output: [], errors: ['wrote burn.html'] })
  t.match(page.files.get('burn.html'), /<td>pier<\/td>/)
  t.notMatch(page.files.get('burn.html'), /quay/)
  t.match((await run(['burn'], server.address)).output, [/quay +signal-query +90.00%/])
  const failing = await run(['burn', '--html', 'x'], server.address, { writeTextFile: async () => { throw new TypeError('no space') } })
  t.match(failing, { status: 1, errors: ['error: cannot write x: no space', 'code: file_unreadable'] })
  await server.close()
})
