import { randomUUID } from 'node:crypto'
import { readFileSync, renameSync, rmSync, statSync, utimesSync, writeFileSync } from 'node:fs'
import { setTimeout as delay } from 'node:timers/promises'
import { buildConstants } from './buildConstants.mjs'
import { BuildError } from './buildError.mjs'

/** Reads a file or its state; undefined when it does not exist. */
function readIfPresent (read) {
  try {
    return read()
  } catch (error) {
    if (error.code === 'ENOENT') return undefined
    throw error
  }
}

/**
 * Lets one build of a checkout run at a time. The lock is a file that its holder renews, so that neither a killed holder
 * nor one in another process namespace blocks others. It saves work only: two holders at once do no harm.
 */
export class BuildLock {
  #token = randomUUID()
  #timer

  constructor (path, limits = buildConstants.lock) {
    this.path = path
    this.limits = limits
  }

  /** Resolves when this process holds the lock; `onWait` is called once if it has to wait. Rejects with a BuildError. */
  async claim (onWait = () => {}) {
    const startedAt = performance.now()
    let seen
    let seenAt = startedAt
    while (!this.#writeNew()) {
      const now = performance.now()
      const state = this.#readState()
      if (seen === undefined) onWait()
      if (state !== seen) [seen, seenAt] = [state, now]
      if (now - seenAt >= this.limits.expiryMs && await this.#replace()) break
      if (now - startedAt >= this.limits.waitTimeoutMs) {
        throw new BuildError(`another build has held ${this.path} for ${Math.round(this.limits.waitTimeoutMs / 1000)} s`)
      }
      await delay(this.limits.pollMs)
    }
    this.#timer = setInterval(() => { this.#renew() }, this.limits.renewalMs)
  }

  release () {
    clearInterval(this.#timer)
    if (this.#isOwn()) rmSync(this.path, { force: true })
  }

  #writeNew () {
    try {
      writeFileSync(this.path, this.#token, { flag: 'wx' })
      return true
    } catch (error) {
      if (error.code === 'EEXIST') return false
      throw error
    }
  }

  /** Several processes may replace an expired lock at once; the last of them holds it. */
  async #replace () {
    const ownPath = `${this.path}.${this.#token}`
    writeFileSync(ownPath, this.#token)
    renameSync(ownPath, this.path)
    await delay(this.limits.settlingMs)
    return this.#isOwn()
  }

  #renew () {
    const now = new Date()
    if (this.#isOwn()) readIfPresent(() => utimesSync(this.path, now, now))
  }

  #isOwn () {
    return readIfPresent(() => readFileSync(this.path, 'utf8')) === this.#token
  }

  #readState () {
    return readIfPresent(() => {
      const { ino, mtimeNs } = statSync(this.path, { bigint: true })
      return `${ino} ${mtimeNs}`
    }) ?? 'released'
  }
}
