import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { BuildError } from './buildError.mjs'

/** A program that the build runs; what it reports as an error goes to standard error. */
export class ChildProgram {
  #child

  constructor (command, args, options) {
    this.command = command
    this.args = args
    this.options = { stdio: ['ignore', 'ignore', 'inherit'], killSignal: 'SIGKILL', ...options }
  }

  /** Rejects with a BuildError unless the program ends with status 0; `consequence` states what that leaves. */
  async run (consequence) {
    this.#child = spawn(this.command, this.args, this.options)
    const [status, signal] = await once(this.#child, 'close').catch(error => {
      throw new BuildError(`${this.command} cannot be started (${error.message}); ${consequence}`, { cause: error })
    })
    if (status !== 0) throw new BuildError(`${this.command} ${this.args[0]} ended with ${signal ?? `status ${status}`}; ${consequence}`)
  }

  kill () {
    this.#child?.kill('SIGKILL')
  }
}
