import { setTimeout as delay } from 'node:timers/promises'
import { AddressBook } from '../lib-2/addressBook.mjs'
import { ClientConnection } from '../lib-2/client.mjs'
import { createModelRunner } from '../lib-2/modelRunner.mjs'
import { runCase } from '../lib-2/runCase.mjs'
import { StageRunners } from '../lib-2/stageRunner.mjs'

const path = '/fire75/1b'
/** One machine of four freezes at a time, as on the bench with the share of the site file. */
const hostCount = 4
const clientCount = 40
const freezeMs = 5000
const freezes = 7
const betweenMs = 4500
/** The longest wait for the state in which a machine is to freeze. */
const stateMs = 3000
const timeLeftMs = 20_000
/** Clients abandon an attempt that a machine has not read for so long. */
const unreadMs = 1000
const zones = ['north-pier', 'south-pier', 'faculty-hall', 'port-office']
/** The stages of a request, the pieces that it has of each, and the services of the site that they are like. */
const stages = [
  { service: 'portal', after: [], bytes: 8000, count: 2 },
  { service: 'sms', after: [0], bytes: 60_000, count: 8 },
  { service: 'sync', after: [1], bytes: 6000, count: 15 }
]
const pieces = { slots: 1, queue: 2, batch: 4, callMs: 240, itemMs: 17, headroomMb: 14, handleS: 4, linkMbps: 10_000 }

await runCase(new URL('.', import.meta.url).pathname, 'mixed-stages', async (deployment, hasTrouble) => {
  await deployment.start()
  for (let i = 0; i < hostCount; i++) await deployment.addHost()
  const { hosts } = deployment
  for (const host of hosts) host.requests = new Set()
  const stageServices = [...new Set(stages.map(({ service }) => service))]
  deployment.configure({
    services: [
      { name: 'llm', connectionLimit: 370, engine: { slots: 64, kvCacheTokens: 423_475 } },
      ...stageServices.map(name => ({ name, connectionLimit: 370, pieces }))
    ],
    routes: [{
      name: 'plan',
      pathPrefix: '/fire75/',
      kind: 'streaming',
      service: 'llm',
      stages: stages.map(({ service, after, bytes }) => ({ service, after, bytes })),
      resumeStreams: true,
      timeoutMs: 20_000,
      targetLatencyMs: 2700,
      targetGapMs: 400,
      maxAttempts: 2
    }]
  })
  const broken = []
  /** The pieces of each request that runners were asked for, and those that they have done, by stage. */
  const progress = new Map()
  const getProgress = ({ id, stage }) => {
    const ofRequest = progress.get(id) ?? stages.map(() => ({ asked: new Set(), done: new Set() }))
    progress.set(id, ofRequest)
    return ofRequest[stage]
  }
  /** Whether a client of the host has a request of which some pieces of a stage are done and some are yet to be asked for. */
  const hasPartlyDone = host => [...host.requests].some(id => {
    return stages.some(({ after, count }, stage) => {
      const { asked, done } = getProgress({ id, stage })
      return after.length > 0 && done.size > 0 && asked.size < count
    })
  })
  /** Records what a runner is asked for; counts inputs that are not those of the request. */
  const check = (where, { id, inputs, after }) => {
    const fault = findFault(id, inputs, after, runners.results)
    deployment.record(`${where}, inputs ${JSON.stringify(inputs)}${fault === undefined ? '' : `: ${fault}`}`)
    if (fault !== undefined) broken.push(fault)
  }
  const runners = new StageRunners({
    stages,
    pieces,
    onItem: (item, { id }) => {
      const { after } = stages[item.stage]
      getProgress(item).asked.add(item.piece)
      const where = `${id} gets ${item.id}, stage ${item.stage}, piece ${item.piece}`
      if (after.length > 0) check(where, { ...item, after })
      else deployment.record(`${where}, key ${item.key}`)
    },
    onResult: item => { getProgress(item).done.add(item.piece) }
  })
  const checkInputs = (id, text) => {
    if (text === undefined) return 400
    const inputs = text.split(',').map(input => input.trim())
    if (!inputs.every(input => runners.find(input) !== undefined)) return 409
    check(`a model runner gets ${id}`, { id, inputs, after: [2] })
  }
  for (let i = 1; i <= 4; i++) await deployment.addUpstream(`m-${i}`, 'llm', createModelRunner({ last: 20, gapMs: 25, checkInputs }), { slots: 64, zone: zones[i - 1] })
  for (const service of stageServices) {
    for (let i = 0; i < 3; i++) await deployment.addUpstream(`${service}-${i}`, service, runners.answer, { slots: 1, zone: zones[i] })
  }
  await deployment.startHosts()
  await delay(1500)

  const load = { isOver: false, number: 0, sent: 0, served: 0 }
  const runClient = async index => {
    const book = new AddressBook(hosts, zones[index % zones.length])
    const failed = new Set()
    await delay(index * 40)
    while (!load.isOver) {
      const host = await book.pick(failed)
      if (host === undefined) {
        await delay(500)
        continue
      }
      const answer = await sendRequest(host)
      if (answer.status <= 0) failed.add(host)
      else failed.delete(host)
      const retryAfterMs = Math.min(Number(answer.headers?.['retry-after'] ?? 0) * 1000, timeLeftMs / 3)
      await delay(answer.status === 200 ? 100 : Math.max(retryAfterMs, 300))
    }
  }
  const sendRequest = async host => {
    const id = `request-${++load.number}`
    const part = load.number.toString(16).padStart(6, '0')
    load.sent++
    host.requests.add(id)
    const connection = new ClientConnection(host.front)
    // What is sent to a frozen machine stays unread.
    const unread = host.isFrozen ? setTimeout(() => { connection.close() }, unreadMs) : undefined
    const answer = await connection.request(id, path, { timeLeftMs, headers: { 'X-Model': 'm', 'X-Token-Counts': '400,100', 'X-Prompt-Prefix': `5c1e${part}:400`, 'X-Pieces': stages.map(({ count }) => count).join(','), 'X-Piece-Key': `7c1e${part}` } })
    clearTimeout(unread)
    host.requests.delete(id)
    connection.close()
    if (answer.status === 200 && answer.isComplete) load.served++
    deployment.record(`client: ${id} by ${host.name} gets ${answer.status <= 0 ? 'no answer' : answer.status}, ${answer.isComplete ? 'whole' : 'not whole'}`)
    return answer
  }
  const clients = Array.from({ length: clientCount }, async (_, i) => { await runClient(i) })
  // The first break ends the run.
  for (let i = 0; i < freezes && broken.length === 0; i++) {
    const before = hosts.map(host => host.list('stage call sent').length)
    await delay(betweenMs)
    // The machine that has given the most orders to the runners of the stages, as `leader` of `node_freeze`.
    const orders = hosts.map((host, index) => host.list('stage call sent').length - before[index])
    const host = hosts[orders.indexOf(Math.max(...orders))]
    const isThere = await deployment.waitFor(() => hasPartlyDone(host), stateMs)
    // The machine has got the answer by then.
    await delay(20)
    if (hasTrouble) {
      deployment.record(`${host.name} freezes${isThere ? '' : ', without a request that is partly done'}`)
      host.isFrozen = true
      host.signal('SIGSTOP')
    }
    await delay(freezeMs)
    if (hasTrouble) {
      host.signal('SIGCONT')
      host.isFrozen = false
      deployment.record(`${host.name} goes on`)
    }
  }
  await delay(1500)
  load.isOver = true
  await Promise.all(clients)
  const kinds = [...new Set(broken)].map(kind => `${broken.filter(other => other === kind).length} ${kind}`).join(', ')
  return { breaks: broken.length, allowed: 0, summary: `${load.sent} requests sent, ${load.served} served whole, pieces and requests with wrong inputs: ${kinds || 'none'}` }
})

/** What is wrong with inputs: they must be the results of all pieces of the stages `after` of the request, each once. */
function findFault (id, inputs, after, results) {
  if (!Array.isArray(inputs) || inputs.filter(input => typeof input === 'string' && input !== '').length === 0) return 'given no inputs'
  const count = after.reduce((sum, index) => sum + stages[index].count, 0)
  if (inputs.length !== count || inputs.includes(null)) return 'given only some inputs'
  if (new Set(inputs).size < inputs.length) return 'given one input twice'
  const known = inputs.map(input => results.get(input)).filter(Boolean)
  if (known.some(result => result.id !== id || !after.includes(result.stage))) return 'given foreign inputs'
  return undefined
}
