/** Stops a program early and only once: on SIGINT, on SIGTERM, after a time limit, or on an error. */
export class InterruptWatch {
  private isStopping = false

  constructor (private readonly stop: () => Promise<unknown>) {}

  /** `limitMs`: time after which the program ends itself, in case a part of it hangs. */
  start (limitMs: number): void {
    process.on('SIGINT', () => this.stopEarly('interrupted', 130))
    process.on('SIGTERM', () => this.stopEarly('terminated', 143))
    setTimeout(() => this.stopEarly(`did not end within ${limitMs} ms`, 1), limitMs).unref()
  }

  /**
   * Runs the program and exits with its code. Only the first reason to stop counts, because the stop makes the program
   * itself fail, and a second signal must not end the cleanup and leave processes behind.
   */
  async runProgram (run: () => Promise<number>): Promise<void> {
    try {
      const code = await run()
      if (!this.isStopping) process.exit(code)
    } catch (error) {
      this.stopEarly(`failed: ${String(error)}`, 1)
    }
  }

  private stopEarly (reason: string, code: number): void {
    if (this.isStopping) return
    this.isStopping = true
    console.error(reason)
    const exit = (): never => process.exit(code)
    this.stop().then(exit, exit)
  }
}
