import { setTimeout as delay } from 'node:timers/promises'
import { createModelRunner } from '../lib-2/modelRunner.mjs'
import { runCase } from '../lib-2/runCase.mjs'
import { sendOnce } from '../lib-2/client.mjs'
import { StageRunners } from '../lib-2/stageRunner.mjs'

const path = '/fire75/1b'
const freezeMs = 5000
const firstPieces = 2
const secondPieces = 15
const clientCount = 10
const freezes = 3
/** Stage 1 takes the results of stage 0, and the model runner takes those of stage 1. */
const stages = [{ service: 'retrieve', after: [], bytes: 8000 }, { service: 'rank', after: [0], bytes: 6000 }]

await runCase(new URL('.', import.meta.url).pathname, 'mixed-stages', async (deployment, hasTrouble) => {
  await deployment.start()
  await deployment.addHost()
  await deployment.addHost()
  const pieces = { slots: 1, queue: 2, batch: 4, callMs: 240, itemMs: 5, headroomMb: 14, handleS: 4, linkMbps: 10_000 }
  deployment.configure({
    services: [
      { name: 'llm', connectionLimit: 280, engine: { slots: 64, kvCacheTokens: 423_475 } },
      { name: 'retrieve', connectionLimit: 280, pieces },
      { name: 'rank', connectionLimit: 280, pieces }
    ],
    routes: [{ name: 'plan', pathPrefix: '/fire75/', kind: 'streaming', service: 'llm', stages, resumeStreams: true, timeoutMs: 20_000, targetLatencyMs: 2700, targetGapMs: 400, maxAttempts: 2 }]
  })
  const broken = []
  const runners = new StageRunners({
    stages,
    handleMs: 4000,
    callMs: 240,
    itemMs: 5,
    onItem: (item, upstream) => {
      const { after } = stages[item.stage]
      const reason = after.length === 0 ? undefined : findFault(item, runners.results)
      deployment.record(`${upstream.id} gets ${item.id}, stage ${item.stage}, piece ${item.piece}, ${after.length === 0 ? `key ${item.key}` : `inputs ${JSON.stringify(item.inputs)}`}${reason === undefined ? '' : `: ${reason}`}`)
      if (reason !== undefined) broken.push(reason)
    }
  })
  for (const id of ['i-1', 'i-2']) await deployment.addUpstream(id, 'llm', createModelRunner({ last: 10, gapMs: 20 }), { slots: 64 })
  for (const id of ['i-3', 'i-4']) await deployment.addUpstream(id, 'retrieve', runners.answer, { slots: 1 })
  for (const id of ['i-5', 'i-6']) await deployment.addUpstream(id, 'rank', runners.answer, { slots: 1 })
  await deployment.startHosts()
  await delay(1000)

  const load = { isOver: false }
  let number = 0
  const counts = { sent: 0, served: 0 }
  const sendRequest = async host => {
    const id = `request-${++number}`
    const part = number.toString(16).padStart(6, '0')
    const headers = { 'X-Model': 'm', 'X-Token-Counts': '400,100', 'X-Prompt-Prefix': `5c1e${part}:400`, 'X-Pieces': `${firstPieces},${secondPieces}`, 'X-Piece-Key': `7c1e${part}` }
    counts.sent++
    const answer = await sendOnce(host.front, id, path, { timeLeftMs: 20_000, headers })
    if (answer.status === 200 && answer.isComplete) counts.served++
    deployment.record(`client: ${id} by ${host.name} gets ${answer.status}, ${answer.isComplete ? 'whole' : 'not whole'}`)
    await delay(answer.status === 200 ? 50 : Math.max(Number(answer.headers?.['retry-after'] ?? 0) * 1000, 500))
  }
  // One machine schedules the stages of all requests. Clients send theirs to this one, and it freezes.
  await sendRequest(deployment.hosts[0])
  const [host] = [...deployment.hosts].sort((one, other) => other.list('stage call sent').length - one.list('stage call sent').length)
  deployment.record(`${host.name} schedules the stages`)
  const clients = Array.from({ length: clientCount }, async () => {
    while (!load.isOver) await sendRequest(host)
  })
  for (let i = 0; i < freezes; i++) {
    await delay(6000)
    if (hasTrouble) {
      deployment.record(`${host.name} freezes`)
      host.signal('SIGSTOP')
    }
    await delay(freezeMs)
    if (hasTrouble) {
      host.signal('SIGCONT')
      deployment.record(`${host.name} goes on`)
    }
  }
  await delay(5000)
  load.isOver = true
  await Promise.all(clients)
  const kinds = [...new Set(broken)].map(kind => `${broken.filter(other => other === kind).length} ${kind}`).join(', ')
  return { breaks: broken.length, allowed: 0, summary: `${counts.sent} requests sent, ${counts.served} served whole, items of stage 1 with wrong inputs: ${kinds || 'none'}` }
})

/** What is wrong with the inputs of an item of stage 1: it must have the results of all pieces of stage 0 of its request, each once. */
function findFault ({ id, inputs }, results) {
  if (!Array.isArray(inputs) || inputs.filter(input => typeof input === 'string' && input !== '').length === 0) return 'is given no inputs'
  if (inputs.length !== firstPieces || new Set(inputs).size !== firstPieces) return 'is given only some inputs, or one twice'
  const known = inputs.map(input => results.get(input)).filter(Boolean)
  if (known.some(result => result.id !== id || result.stage !== 0)) return 'is given foreign inputs'
  return undefined
}
