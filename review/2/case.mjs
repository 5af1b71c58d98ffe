// Model runners whose streams have neither a length nor chunks; one of them crashes while it streams.
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { runCase, wait } from '../standins/case.mjs'
import { StreamDeployment } from '../standins/streamDeployment.mjs'

const playS = 30
/** One of eight runners (a share of 0.125) crashes, and another one starts 4.5 s later. */
const runnerCount = 8
const [firstCrashS, crashEveryS, downS] = [4, 8, 4.5]
const clientCount = 16

await runCase(join(dirname(fileURLToPath(import.meta.url)), 'record.txt'), async ({ folder, record, hasTrouble, own }) => {
  const deployment = await new StreamDeployment({ folder, record, own, events: 40, pauseMs: 50 }).start({ runnerCount, gatewayCount: 1 })
  const { runners } = deployment
  const startMs = performance.now()
  const endMs = startMs + playS * 1000
  const crashRunners = async () => {
    if (!hasTrouble) return
    for (let atS = firstCrashS; atS + downS < playS; atS += crashEveryS) {
      await wait(startMs + atS * 1000 - performance.now())
      const busiest = [...runners].sort((a, b) => b.running - a.running)[0]
      const [crashed] = runners.splice(runners.indexOf(busiest), 1)
      record(`${crashed.id} crashes with ${crashed.running} requests`)
      crashed.crash()
      deployment.expectRemoval(crashed)
      await wait(downS * 1000)
      const { id } = await deployment.addRunner(crashed.zone)
      record(`${id} starts in its place`)
    }
  }
  await Promise.all([crashRunners(), ...Array.from({ length: clientCount }, (_, i) => deployment.runClient(i, endMs))])
  return deployment.end()
})
