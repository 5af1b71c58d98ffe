import { spawn } from 'node:child_process'
import { createServer } from 'node:net'
import { mkdirSync, writeFileSync, createWriteStream } from 'node:fs'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'

/** The repository's root, in which the deploy file's `run` line is started. */
const root = new URL('../..', import.meta.url).pathname

async function isFree (host, port) {
  return await new Promise(resolve => {
    const server = createServer()
    server.once('error', () => { resolve(false) })
    server.listen(port, host, () => { server.close(() => { resolve(true) }) })
  })
}

/** Finds the first of `count` free ports in a row on a loopback address. */
async function findPorts (host, count) {
  for (let first = 20_000 + Math.floor(Math.random() * 20_000); ; first += count) {
    const free = await Promise.all(Array.from({ length: count }, async (_, i) => await isFree(host, first + i)))
    if (free.every(Boolean)) return first
  }
}

/** One host of the platform: the program of the deploy file with a settings file of a small deployment. */
export class HostProcess {
  logs = ''

  constructor ({ name, index, folder, storeAddress, zone = 'north-pier', settings = text => text }) {
    Object.assign(this, { name, folder, storeAddress, zone, edit: settings })
    this.ip = `127.${20 + process.pid % 200}.${1 + Math.floor(process.pid / 200) % 250}.${index + 1}`
  }

  async prepare () {
    mkdirSync(this.folder, { recursive: true })
    const port = await findPorts(this.ip, 20)
    this.front = `${this.ip}:${port}`
    this.ready = `${this.ip}:${port + 1}`
    this.directory = `${this.ip}:${port + 2}`
    /** The first of the internal ports, on which the host serves others. */
    this.peer = `${this.ip}:${port + 4}`
    this.settingsPath = join(this.folder, `${this.name}.toml`)
    // The figures are those of the small deployment `zvanets-varna`.
    writeFileSync(this.settingsPath, this.edit(`nodeName = "${this.name}"
role = "gateway"
machineClass = "front"
serves = ["front","directory"]
ipAddress = "${this.ip}"
zone = "${this.zone}"
region = "varna"
internalPortRange = [${port + 4},${port + 19}]
seeds = []
bootstrap = true
countedInTolerance = true
discovery = "platform"
entry = "directory"
heartbeatIntervalMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","stages"]
[zones]
north-pier = "varna"
south-pier = "varna"
faculty-hall = "varna"
port-office = "varna"
[listenAddresses]
front = "${this.front}"
ready = "${this.ready}"
directory = "${this.directory}"
[limits]
cpuShare = 0.675
cores = 2
memoryMb = 610
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
acknowledgeMs = 4000
catchUpS = 4
drainMs = 2000
gracePeriodS = 8
lossSlackMs = 200
configurationMs = 2000
rollbackSlackMs = 250
outerBoundMs = 5000
revokeWhenPartitioned = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetExtraRetries = 56
recoveryS = 12
passMs = 120
reuseWindowS = 10
ttl_max_s = 5
[platform]
address = "${this.storeAddress}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
`))
    return this
  }

  start () {
    const { PATH, HOME, LANG } = process.env
    const args = ['--max-old-space-size=160', '--expose-gc', 'target/lycheetrack.cjs', 'gateway']
    const environment = Object.fromEntries(Object.entries({ PATH, HOME, LANG, LYCHEETRACK_SETTINGS: this.settingsPath }).filter(([, value]) => value !== undefined))
    this.exit = undefined
    this.child = spawn(process.execPath, args, { cwd: root, env: environment, stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(join(this.folder, `${this.name}.log`), { flags: 'a' })
    for (const stream of [this.child.stdout, this.child.stderr]) {
      stream.on('data', chunk => {
        this.logs += chunk.toString('utf8')
        log.write(chunk)
      })
    }
    this.ended = new Promise(resolve => {
      this.child.once('exit', (code, signal) => {
        this.exit = { code, signal, atMs: performance.now() }
        log.end()
        resolve(this.exit)
      })
    })
    return this
  }

  async waitReady (limitMs = 20_000) {
    const untilMs = performance.now() + limitMs
    while (performance.now() < untilMs && this.exit === undefined) {
      const answer = await fetch(`http://${this.ready}/-/readiness`, { signal: AbortSignal.timeout(1000) }).catch(() => undefined)
      if (answer?.status === 200) return
      await delay(30)
    }
    throw new Error(`${this.name} is not ready`)
  }

  /** Log lines with a message. */
  list (message) {
    return this.logs.split('\n').filter(line => line.includes(`"message":"${message}"`))
  }

  signal (name) {
    this.child?.kill(name)
  }

  async kill () {
    if (this.child === undefined || this.exit !== undefined) return
    this.child.kill('SIGCONT')
    this.child.kill('SIGKILL')
    await this.ended
  }
}
