#!/usr/bin/env node
// Stands in for npm in a test checkout: like `npm ci`, it empties node_modules, needs a while for the packages of the
// lock file and writes its own list last. It notes each run in NPM_RUNS and links the packages from NPM_SOURCE; those with
// binaries only for the processor NPM_CPU.
const { appendFileSync, mkdirSync, readFileSync, readdirSync, rmSync, symlinkSync, writeFileSync } = require('node:fs')
const { dirname, join } = require('node:path')
const { setTimeout: delay } = require('node:timers/promises')

const stepMs = 400

async function runInstallation () {
  const { packages: wanted } = JSON.parse(readFileSync('package-lock.json', 'utf8'))
  const { NPM_CPU: processor = process.arch } = process.env
  const packages = Object.fromEntries(Object.entries(wanted).filter(([, { cpu }]) => cpu === undefined || cpu.includes(processor)))
  appendFileSync(process.env.NPM_RUNS, process.argv.slice(2).join(' ') + '\n')
  if (process.env.NPM_FAILS !== undefined) {
    console.error('npm error code ETARGET')
    process.exit(1)
  }
  const { HOME, npm_config_cache: cache = HOME && join(HOME, '.npm') } = process.env
  if (cache !== undefined) mkdirSync(join(cache, '_cacache/tmp'), { recursive: true })
  mkdirSync('node_modules', { recursive: true })
  for (const name of readdirSync('node_modules')) rmSync(join('node_modules', name), { recursive: true, force: true })
  await delay(stepMs)
  for (const path of Object.keys(packages).filter(path => path !== '')) {
    mkdirSync(dirname(path), { recursive: true })
    rmSync(path, { recursive: true, force: true })
    symlinkSync(join(process.env.NPM_SOURCE, path), path)
  }
  await delay(stepMs)
  writeFileSync('node_modules/.package-lock.json', JSON.stringify({ packages }))
}

runInstallation()
