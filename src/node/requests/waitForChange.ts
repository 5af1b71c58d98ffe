import type { AnswerLog } from './answerLog.js'

/** Resolves with true after the next change of the log, or with false after `timeoutMs` or when `signal` aborts. */
export async function waitForChange (log: AnswerLog, timeoutMs: number, signal: AbortSignal): Promise<boolean> {
  return await new Promise(resolve => {
    const settle = (changed: boolean): void => {
      clearTimeout(timer)
      remove()
      signal.removeEventListener('abort', onAbort)
      resolve(changed)
    }
    const onAbort = (): void => settle(false)
    const timer = setTimeout(() => settle(false), timeoutMs)
    const remove = log.onChange(() => settle(true))
    if (signal.aborted) settle(false)
    else signal.addEventListener('abort', onAbort)
  })
}
