/** Resolves after `ms`, or at once when the signal is aborted. */
export async function waitForDelay (ms: number, signal: AbortSignal): Promise<void> {
  if (signal.aborted) return
  await new Promise<void>(resolve => {
    const onDone = (): void => {
      clearTimeout(timer)
      signal.removeEventListener('abort', onDone)
      resolve()
    }
    const timer = setTimeout(onDone, ms)
    signal.addEventListener('abort', onDone)
  })
}
