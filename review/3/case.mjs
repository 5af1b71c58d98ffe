// Model runners whose streams have neither a length nor chunks; a process of the product is killed while it forwards them.
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { runCase, wait } from '../standins/case.mjs'
import { StreamDeployment } from '../standins/streamDeployment.mjs'

const playS = 30
/** One process of five is killed; the platform starts it again a second later. */
const gatewayCount = 5
const runnerCount = 8
const [firstKillS, killEveryS, restartS] = [4, 8, 1]
const clientCount = 20

await runCase(join(dirname(fileURLToPath(import.meta.url)), 'record.txt'), async ({ folder, record, hasTrouble, own }) => {
  const deployment = await new StreamDeployment({ folder, record, own, events: 40, pauseMs: 50 }).start({ runnerCount, gatewayCount })
  const { gateways } = deployment
  const startMs = performance.now()
  const endMs = startMs + playS * 1000
  const killProcesses = async () => {
    if (!hasTrouble) return
    for (let i = 0; firstKillS + i * killEveryS + restartS < playS; i++) {
      await wait(startMs + (firstKillS + i * killEveryS) * 1000 - performance.now())
      const gateway = gateways[i % gatewayCount]
      record(`SIGKILL of ${gateway.name} (${gateway.clientAddress})`)
      gateway.signal('SIGKILL')
      await gateway.ended
      await wait(restartS * 1000)
      gateway.exit = undefined
      gateway.start()
      record(`${gateway.name} starts again`)
    }
  }
  await Promise.all([killProcesses(), ...Array.from({ length: clientCount }, (_, i) => deployment.runClient(i, endMs))])
  return deployment.end()
})
