/** Settles as `promise` does; rejects with the reason of `signal` when it is aborted before that. */
export async function waitUnlessAborted<T> (promise: Promise<T>, signal?: AbortSignal): Promise<T> {
  if (signal === undefined) return await promise
  const { promise: aborted, cancel } = createAbortPromise(signal)
  try {
    return await Promise.race([promise, aborted])
  } finally {
    cancel()
  }
}

function createAbortPromise (signal: AbortSignal): { readonly promise: Promise<never>, readonly cancel: () => void } {
  let onAbort = (): void => {}
  const promise = new Promise<never>((_resolve, reject) => { onAbort = () => { reject(signal.reason) } })
  if (signal.aborted) onAbort()
  else signal.addEventListener('abort', onAbort)
  return { promise, cancel: () => { signal.removeEventListener('abort', onAbort) } }
}
