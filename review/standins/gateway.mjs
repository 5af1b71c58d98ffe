// Starts processes of the product as the deploy file does.
import { spawn } from 'node:child_process'
import { existsSync, readFileSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

const root = join(dirname(fileURLToPath(import.meta.url)), '..', '..')
const metricsPort = 9464

/** The `run` line of the deploy file. */
function readCommand () {
  const line = /^run = "(.*)"$/m.exec(readFileSync(join(root, 'deploy', 'system.toml'), 'utf8'))
  return line[1].split(' ')
}

/** Resolves to whether a port of an address is free. */
async function checkFree (host, port) {
  return await new Promise(resolve => {
    const server = createServer()
    server.once('error', () => { resolve(false) })
    server.listen(port, host, () => { server.close(() => { resolve(true) }) })
  })
}

/** Finds a loopback address on which the ports of a host are free. */
export async function findAddress () {
  for (;;) {
    const host = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}.${1 + Math.floor(Math.random() * 250)}`
    const results = await Promise.all([8620, 8621, 8625, 7740, metricsPort].map(port => checkFree(host, port)))
    if (results.every(isFree => isFree)) return host
  }
}

export class Gateway {
  lines = []

  constructor ({ name, host, zone, folder, storeAddress, bounds = {} }) {
    Object.assign(this, { name, host, zone, folder, storeAddress, bounds })
    this.clientAddress = `${host}:8625`
    this.directoryAddress = `${host}:8620`
    this.readyAddress = `${host}:8621`
    this.path = join(folder, `${name}.toml`)
  }

  writeSettings () {
    const bounds = {
      seedLagS: 3,
      reuseAfterS: 2,
      stableWindowMs: 3000,
      acknowledgeMs: 4000,
      catchUpS: 4,
      drainMs: 2000,
      gracePeriodS: 8,
      lossSlackMs: 200,
      configurationMs: 2000,
      rollbackSlackMs: 250,
      outerBoundMs: 5000,
      retryBudgetRatio: 0.2,
      budgetWindowS: 10,
      budgetExtraRetries: 56,
      recoveryS: 12,
      passMs: 120,
      reuseWindowS: 10,
      ttl_max_s: 5,
      ...this.bounds
    }
    writeFileSync(this.path, `nodeName = "${this.name}"
role = "gateway"
machineClass = "front"
serves = ["front","directory"]
ipAddress = "${this.host}"
zone = "${this.zone}"
region = "varna"
internalPortRange = [7740,7755]
seeds = []
bootstrap = true
countedInTolerance = false
discovery = "platform"
entry = "directory"
heartbeatIntervalMs = 1200
[listenAddresses]
front = "${this.clientAddress}"
ready = "${this.readyAddress}"
directory = "${this.directoryAddress}"
[limits]
cpuShare = 0.675
cores = 2
memoryMb = 610
fileDescriptors = 8200
linkMbps = 2000.0
diskMb = 0
[bounds]
${Object.entries(bounds).map(([name, value]) => `${name} = ${value}`).join('\n')}
revokeWhenPartitioned = false
[platform]
address = "${this.storeAddress}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
`)
  }

  start () {
    const [program, ...words] = readCommand()
    if (!existsSync(join(root, words.find(word => word.startsWith('target/'))))) throw new Error('the product has not been built')
    this.writeSettings()
    const { PATH, HOME, LANG } = process.env
    this.process = spawn(program, words, { cwd: root, env: { PATH, HOME, LANG, LYCHEETRACK_SETTINGS: this.path }, stdio: ['ignore', 'pipe', 'pipe'] })
    this.ended = new Promise(resolve => {
      this.process.once('exit', (code, signal) => {
        this.exit = { code, signal }
        resolve(this.exit)
      })
    })
    const read = chunk => { this.lines.push(...chunk.toString().split('\n').filter(line => line !== '')) }
    this.process.stdout.on('data', read)
    this.process.stderr.on('data', read)
    return this
  }

  async checkReady () {
    const answer = await fetch(`http://${this.readyAddress}/-/readiness`, { signal: AbortSignal.timeout(500) }).catch(() => undefined)
    return answer?.status === 200
  }

  async waitReady (timeoutMs = 15_000) {
    const untilMs = performance.now() + timeoutMs
    while (!await this.checkReady()) {
      if (performance.now() > untilMs || this.exit !== undefined) throw new Error(`${this.name} is not ready: ${this.lines.slice(-3).join(' ')}`)
      await new Promise(resolve => setTimeout(resolve, 50))
    }
  }

  signal (name) {
    if (this.exit === undefined) this.process.kill(name)
  }

  async stop () {
    if (this.process === undefined || this.exit !== undefined) return
    this.process.kill('SIGCONT')
    this.process.kill('SIGKILL')
    await this.ended
  }

  /** Lines of the log with this message. */
  listLogs (message) {
    return this.lines.filter(line => line.includes(`"message":"${message}"`)).map(line => JSON.parse(line))
  }
}
