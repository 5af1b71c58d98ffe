// Builds the executable dist/lycheetrack from the bundle as a Node.js single executable application.
import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, readFileSync, writeFileSync } from 'node:fs'
import { inject } from 'postject'

const configFile = 'dist/sea.json'
writeFileSync(configFile, JSON.stringify({ main: 'dist/executable.cjs', output: 'dist/lycheetrack.blob', disableExperimentalSEAWarning: true, useCodeCache: false }))
execFileSync(process.execPath, ['--experimental-sea-config', configFile], { stdio: 'ignore' })
copyFileSync(process.execPath, 'dist/lycheetrack')
chmodSync('dist/lycheetrack', 0o755)
await inject('dist/lycheetrack', 'NODE_SEA_BLOB', readFileSync('dist/lycheetrack.blob'), { sentinelFuse: 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2' })
console.log('built dist/lycheetrack')
