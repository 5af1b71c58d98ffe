import type { Scheduler } from '../types/scheduler.js'

/** Timers of the process. They do not keep the process alive. */
export const systemScheduler: Scheduler = {
  schedule: (delayMs, run) => {
    const timer = setTimeout(run, delayMs)
    timer.unref()
    return () => { clearTimeout(timer) }
  }
}
