import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { chmodSync, copyFileSync, cpSync, existsSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join, resolve } from 'node:path'
import { parse } from 'smol-toml'

interface ProcessResult {
  readonly status: number | null
  readonly output: string
}

/** A small checkout outside of this one with its build scripts, a program of two lines and a stand-in for npm. */
export class TestCheckout {
  readonly folder = mkdtempSync(join(tmpdir(), 'lycheetrack-checkout-'))
  private readonly runsFile = join(this.folder, 'npm-runs')

  constructor () {
    const { packages } = JSON.parse(readFileSync('package-lock.json', 'utf8'))
    for (const name of ['scripts', 'deploy']) cpSync(name, join(this.folder, name), { recursive: true })
    for (const name of ['bin', 'playground', 'src/node/cli']) mkdirSync(join(this.folder, name), { recursive: true })
    copyFileSync('playground/builds/npmStandIn.cjs', join(this.folder, 'bin/npm'))
    chmodSync(join(this.folder, 'bin/npm'), 0o755)
    this.writeText('package.json', '{"version": "1.0.0", "type": "module"}')
    const names = ['esbuild', `@esbuild/${process.platform}-${process.arch}`].map(name => `node_modules/${name}`)
    this.writeText('package-lock.json', JSON.stringify({ packages: Object.fromEntries(names.map(name => [name, packages[name]])) }))
    this.writeText('src/node/cli/index.ts', "import('./runProgram.js').then(({ runProgram }) => { runProgram() })")
    this.writeProgram('first')
  }

  remove (): void {
    rmSync(this.folder, { recursive: true, force: true })
  }

  /** Writes a program that prints `text`. */
  writeProgram (text: string): void {
    this.writeText('src/node/cli/runProgram.ts', `export const runProgram = () => console.log('${text}')`)
  }

  writeText (name: string, text: string): void {
    writeFileSync(join(this.folder, name), text)
  }

  /** Starts the build line of the deploy file. */
  startBuild (environment: Readonly<Record<string, string>> = {}): ChildProcess {
    const { build } = parse(readFileSync('deploy/system.toml', 'utf8'))
    return this.startProcess('sh', ['-c', `exec ${String(build)}`], environment)
  }

  async runBuild (environment?: Readonly<Record<string, string>>): Promise<ProcessResult> {
    return await this.waitEnd(this.startBuild(environment))
  }

  async runNode (...args: readonly string[]): Promise<ProcessResult> {
    return await this.waitEnd(this.startProcess(process.execPath, args, {}))
  }

  startProgram (name: string): ChildProcess {
    return this.startProcess(join(this.folder, name), [], {})
  }

  /** Arguments of each start of npm. */
  listInstallations (): readonly string[] {
    return existsSync(this.runsFile) ? readFileSync(this.runsFile, 'utf8').trim().split('\n') : []
  }

  private startProcess (command: string, args: readonly string[], environment: Readonly<Record<string, string>>): ChildProcess {
    const env = { PATH: `${join(this.folder, 'bin')}:${process.env['PATH']}`, NPM_RUNS: this.runsFile, NPM_SOURCE: resolve('.'), ...environment }
    return spawn(command, args, { cwd: this.folder, env, stdio: ['ignore', 'pipe', 'pipe'] })
  }

  private async waitEnd (child: ChildProcess): Promise<ProcessResult> {
    let output = ''
    for (const stream of [child.stdout, child.stderr]) stream?.on('data', chunk => { output += String(chunk) })
    const [status] = await once(child, 'close')
    return { status: status as number | null, output }
  }
}
