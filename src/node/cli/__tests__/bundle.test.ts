import { build } from 'esbuild'
import { mkdirSync } from 'node:fs'
import { join, resolve } from 'node:path'
import { spawnSync } from 'node:child_process'
import t from 'tap'

/** Bundles a program like scripts/bundle.mjs and runs it in a folder of its own without ROARR_LOG. */
async function runBundle (folder: string, source: string, args: readonly string[]) {
  const outfile = join(folder, 'program.cjs')
  const stdin = { contents: source, resolveDir: resolve('src/node/cli'), loader: 'ts' as const }
  await build({ stdin, outfile, bundle: true, platform: 'node', target: 'node20', format: 'cjs', logLevel: 'error', define: { __VERSION__: '"1.2.3"' }, external: ['bufferutil', 'utf-8-validate'] })
  mkdirSync(join(folder, 'empty'))
  const result = spawnSync(process.execPath, [outfile, ...args], { cwd: join(folder, 'empty'), env: {}, encoding: 'utf8' })
  return { status: result.status, output: result.stdout, errors: result.stderr }
}

t.test('the bundle runs without node_modules and exits with the status of its command', async t => {
  const folder = t.testdir({ version: {}, wrong: {} })
  t.match(await runBundle(join(folder, 'version'), "import './index.js'", ['--version']), { status: 0, output: 'lycheetrack, 1.2.3\n' })
  t.match(await runBundle(join(folder, 'wrong'), "import './index.js'", ['serve', '--port', '1']), { status: 2, errors: /error: unknown flag --port\nerror: --host-id/ })
})

t.test('the logger writes in a bundle, where roarr would be silent without ROARR_LOG', async t => {
  const source = "import { createLogger } from '../logging/createLogger.js'\ncreateLogger({ host: 'host-1' }).recordInfo('started')"
  const { errors } = await runBundle(t.testdir(), source, [])
  t.match(JSON.parse(errors), { level: 'info', host: 'host-1', message: 'started' })
})
