import { soakConstants } from './constants.js'

interface HeldUpTime {
  readonly fromMs: number
  readonly toMs: number
}

/** Records when the process of the soak did not run: its clients see the ends of connections late then. */
export class LoopWatch {
  readonly heldUp: HeldUpTime[] = []
  private timer: NodeJS.Timeout | undefined

  start (): void {
    const { loopCheckMs, minHeldUpMs } = soakConstants
    let lastMs = performance.now()
    this.timer = setInterval(() => {
      const nowMs = performance.now()
      if (nowMs - lastMs >= minHeldUpMs) this.heldUp.push({ fromMs: lastMs, toMs: nowMs })
      lastMs = nowMs
    }, loopCheckMs)
  }

  stop (): void {
    clearInterval(this.timer)
  }
}
