// Builds the executable dist/lycheetrack from the bundle as a Node.js single executable application. It is put together in
// a folder of its own, because processes may be running or starting from the earlier one.
import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, mkdtempSync, readFileSync, renameSync, rmSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { inject } from 'postject'

const folder = mkdtempSync('dist/.executable-')
try {
  const [configFile, output, executable] = ['sea.json', 'lycheetrack.blob', 'lycheetrack'].map(name => join(folder, name))
  writeFileSync(configFile, JSON.stringify({ main: 'dist/executable.cjs', output, disableExperimentalSEAWarning: true, useCodeCache: false }))
  execFileSync(process.execPath, ['--experimental-sea-config', configFile], { stdio: ['ignore', 'ignore', 'pipe'] })
  copyFileSync(process.execPath, executable)
  chmodSync(executable, 0o755)
  await inject(executable, 'NODE_SEA_BLOB', readFileSync(output), { sentinelFuse: 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2' })
  renameSync(executable, 'dist/lycheetrack')
} finally {
  rmSync(folder, { recursive: true, force: true })
}
console.log('built dist/lycheetrack')
