import { accessSync, constants, copyFileSync, existsSync, mkdirSync, mkdtempSync, readdirSync, readFileSync, renameSync, rmSync, statSync } from 'node:fs'
import { rm } from 'node:fs/promises'
import { homedir } from 'node:os'
import { join } from 'node:path'
import { buildConstants } from './buildConstants.mjs'
import { BuildError } from './buildError.mjs'
import { ChildProgram } from './childProgram.mjs'

const folderPrefix = '.installation-'
/** `npm ci` leaves out development packages, the bundler among them, when NODE_ENV is `production`. */
const npmArguments = ['ci', '--include=dev', '--no-audit', '--no-fund', '--no-update-notifier', '--loglevel=error']

/** The content of a JSON file; undefined when it is missing or cut short. */
function readIfWhole (file) {
  try {
    return JSON.parse(readFileSync(file, 'utf8'))
  } catch (error) {
    if (error.code === 'ENOENT' || error instanceof SyntaxError) return undefined
    throw error
  }
}

/** Whether npm installs an optional package here because it is for this kind of machine, as binaries are. */
function isForThisMachine ({ os, cpu }) {
  return os?.includes(process.platform) === true && cpu?.includes(process.arch) === true
}

/** An npm that outlives its build may still write there; a later build removes the rest. */
async function removeFolder (folder) {
  try {
    await rm(folder, { recursive: true, force: true, maxRetries: 3 })
  } catch (error) {
    console.error(`not removed: ${error.message}`)
  }
}

/** The packages of a checkout. They are installed in a folder of their own, which then takes the place of node_modules. */
export class PackageInstallation {
  #folder
  #npm

  /** `workFolder`: a folder on the file system of the checkout. */
  constructor (root, workFolder) {
    this.root = root
    this.workFolder = workFolder
  }

  /**
   * Paths of the packages that the checkout does not have as its lock file wants them. File times say nothing about this,
   * npm's own list may name packages that another installation has removed, and a checkout that comes from another kind
   * of machine has the binaries of that one.
   */
  listMissing () {
    return this.#listMissingIn(this.root, isForThisMachine)
  }

  /** Replaces node_modules. Rejects with a BuildError, which leaves node_modules as it was. */
  async run () {
    this.#folder = mkdtempSync(join(this.workFolder, folderPrefix))
    try {
      for (const name of ['package.json', 'package-lock.json', '.npmrc']) {
        if (existsSync(join(this.root, name))) copyFileSync(join(this.root, name), join(this.#folder, name))
      }
      const options = { cwd: this.#folder, env: this.#resolveEnvironment(), timeout: buildConstants.installationTimeoutMs }
      this.#npm = new ChildProgram('npm', npmArguments, options)
      await this.#npm.run('node_modules is as before')
      const missing = this.#listMissingIn(this.#folder, () => false)
      if (missing.length > 0) throw new BuildError(`npm ci ended without ${missing.length} packages, the first is ${missing[0]}`)
      const current = join(this.root, 'node_modules')
      if (existsSync(current)) renameSync(current, join(this.#folder, 'replaced'))
      renameSync(join(this.#folder, 'node_modules'), current)
    } finally {
      await removeFolder(this.#folder)
    }
  }

  /** Ends an installation in progress; for a process that is being stopped. */
  cancel () {
    this.#npm?.kill()
    if (this.#folder !== undefined) rmSync(this.#folder, { recursive: true, force: true, maxRetries: 3 })
  }

  /** Removes installations that were cut off. */
  async removeAbandoned () {
    for (const name of readdirSync(this.workFolder).filter(name => name.startsWith(folderPrefix))) {
      const folder = join(this.workFolder, name)
      const ageMs = Date.now() - statSync(folder).mtimeMs
      if (ageMs > buildConstants.abandonedInstallationAgeMs) await removeFolder(folder)
    }
  }

  /** `isOptionalWanted` decides on optional packages that are not installed; npm goes on when one of them fails. */
  #listMissingIn (folder, isOptionalWanted) {
    const wanted = readIfWhole(join(this.root, 'package-lock.json'))?.packages
    if (wanted === undefined) throw new BuildError('package-lock.json is missing or cannot be read')
    const installed = readIfWhole(join(folder, 'node_modules/.package-lock.json'))?.packages ?? {}
    return Object.keys(wanted).filter(path => {
      if (path === '') return false
      if (installed[path] === undefined) return wanted[path].optional !== true || isOptionalWanted(wanted[path])
      if (installed[path].integrity !== wanted[path].integrity) return true
      return readIfWhole(join(folder, path, 'package.json'))?.version !== wanted[path].version
    })
  }

  /** npm fails, or never ends, without a folder for its cache. */
  #resolveEnvironment () {
    try {
      const cache = process.env.npm_config_cache ?? join(homedir(), '.npm')
      if (!existsSync(cache)) mkdirSync(cache)
      accessSync(cache, constants.W_OK)
      return process.env
    } catch (error) {
      console.log(`installing without the cache of npm: ${error.message}`)
      return { HOME: this.#folder, ...process.env, npm_config_cache: join(this.#folder, 'cache') }
    }
  }
}
