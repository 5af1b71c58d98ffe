// Runs the tests with tap and prints a summary per file and a last line "N passed, N failed". Failures of
// exactly the tests listed in KNOWN-RED.txt are not counted as failed.
import { spawn } from 'node:child_process'
import { existsSync, readFileSync, readdirSync } from 'node:fs'
import { join } from 'node:path'
import { Parser } from 'tap-parser'

const knownFailures = existsSync('KNOWN-RED.txt')
  ? readFileSync('KNOWN-RED.txt', 'utf8').split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice(6).trim())
  : []
const counts = { passed: 0, failed: 0, known: 0 }
const failures = []
const details = new Map()
const seenKnownFailures = []
const maxDetailLength = 3000
const maxSummaryLength = 400

function watchParser (parser, path, onlyLeaves) {
  parser.on('child', child => watchParser(child, [...path, child.name]))
  parser.on('assert', result => {
    if (result.name && parser.level === 0) return
    if (result.skip || result.todo) return
    if (result.ok) { counts.passed++; return }
    const name = [...path, result.name].filter(Boolean).join(' > ')
    // A test fails together with its subtests, whose other failures are counted by themselves.
    const isSubtest = other => other.startsWith(`${name} > `)
    const isParentOfKnown = seenKnownFailures.some(isSubtest) && !failures.some(isSubtest)
    if (knownFailures.some(known => name.includes(known)) || isParentOfKnown) {
      counts.known++
      seenKnownFailures.push(name)
    } else {
      counts.failed++
      failures.push(name)
      details.set(name, result.diag)
    }
  })
}

function formatDetails (diagnostics) {
  return diagnostics ? '\n' + JSON.stringify(diagnostics, null, 1).slice(0, maxDetailLength) : ''
}

/** The failures that do not only contain others. */
function listLeaves (names) {
  return names.filter(name => !names.some(other => other.startsWith(`${name} > `)))
}

function formatSummary (name) {
  const { diff, found, message } = details.get(name) ?? {}
  const reason = diff ?? message ?? (found === undefined ? 'no details' : JSON.stringify(found))
  return `failed: ${name}: ${String(reason).replaceAll(/\s+/g, ' ').slice(0, maxSummaryLength)}`
}

/** Files whose tests flood a process with clients run one at a time, after all others: they check its memory. */
const serialPattern = /\/crowdsAt[^/]*\.test\.ts$/

function listTestFiles (folder) {
  const names = readdirSync(folder, { recursive: true }).filter(name => /(^|\/)__tests__\/[^/]+\.test\.ts$/.test(name))
  return names.map(name => join(folder, name))
}

/** Runs test files with tap; resolves to its exit status and the files that failed. */
async function runTap (files, options) {
  const parser = new Parser()
  watchParser(parser, [])
  parser.on('assert', result => { if (result.name) console.log(`${result.ok ? 'ok' : 'FAILED'}  ${result.name}`) })
  const command = ['node_modules/tap/dist/esm/run.mjs', 'run', '--reporter=tap', ...options, ...files]
  const tap = spawn(process.execPath, command, { stdio: ['ignore', 'pipe', 'inherit'] })
  tap.stdout.pipe(parser)
  let failedFiles = []
  parser.on('complete', results => { failedFiles = results.failures?.map(failure => failure.name) ?? [] })
  const code = await new Promise(resolve => { tap.on('close', resolve) })
  return { code, failedFiles }
}

const files = process.argv.length > 2 ? process.argv.slice(2) : [...listTestFiles('src'), ...listTestFiles('playground')]
const rounds = [
  { files: files.filter(file => !serialPattern.test(file)), options: [] },
  { files: files.filter(file => serialPattern.test(file)), options: ['--jobs=1'] }
]
const results = []
for (const round of rounds) {
  if (round.files.length > 0) results.push(await runTap(round.files, round.options))
}
for (const failure of failures) console.log(`\nFAILED ${failure}${formatDetails(details.get(failure))}`)
if (counts.known > 0) console.log(`\nknown failures listed in KNOWN-RED.txt, not counted: ${knownFailures.join('; ')} (${counts.known} assertions)`)
for (const name of listLeaves(seenKnownFailures)) console.log(`known failure seen: ${name}`)
// A file that crashes or times out fails without a failing assertion of its own.
const explained = [...failures, ...knownFailures]
const unexplained = results.flatMap(({ failedFiles }) => failedFiles)
  .filter(file => !explained.some(name => name.includes(file) || file.includes(name.split(' > ')[0])))
const failedCode = results.find(({ code, failedFiles }) => code !== 0 && failedFiles.length === 0)?.code
const crashed = unexplained.length > 0 || failedCode !== undefined
if (crashed) console.log(`tap exited with ${failedCode ?? 1}; failed without an assertion: ${unexplained.join(', ') || 'no result'}`)
// Where the middle of a long output is cut, its last lines stay.
for (const name of listLeaves(failures)) console.log(formatSummary(name))
console.log(`${counts.passed} passed, ${counts.failed + (crashed ? 1 : 0)} failed`)
process.exit(counts.failed > 0 || crashed || counts.passed === 0 ? 1 : 0)
