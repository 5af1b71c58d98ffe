import type { ContractRevision } from '../../../types/contractRevision.js'
import type { Scheduler } from '../../../types/scheduler.js'
import type { ContractStore } from '../contractStore.js'
import { adminConstants } from './constants.js'

/**
 * Yields the current revisions, then each newer one until `signal` aborts, with a heartbeat every second. A slow
 * reader gets only the newest revision of each account, which bounds the memory used.
 */
export async function * watchRevisions (store: ContractStore, scheduler: Scheduler, isConfirmed: () => boolean, signal: AbortSignal): AsyncIterable<unknown> {
  const pending = new Map<string, ContractRevision>(store.listRevisions().map(revision => [revision.account, revision]))
  let wake = (): void => {}
  const removeListener = store.onApplied(revision => {
    pending.set(revision.account, revision)
    wake()
  })
  const onAbort = (): void => { wake() }
  signal.addEventListener('abort', onAbort)
  try {
    while (!signal.aborted) {
      for (const [account, revision] of pending) {
        pending.delete(account)
        yield { type: revision.contract === null ? 'deleted' : 'contract', ...revision }
        if (signal.aborted) return
      }
      yield { type: 'heartbeat', confirmed: isConfirmed() }
      await new Promise<void>(resolve => {
        if (signal.aborted || pending.size > 0) { resolve(); return }
        const cancel = scheduler.schedule(adminConstants.watchHeartbeatMs, resolve)
        wake = () => { cancel(); resolve() }
      })
    }
  } finally {
    removeListener()
    signal.removeEventListener('abort', onAbort)
  }
}
