import { setTimeout as delay } from 'node:timers/promises'
import { readPeerSecret } from './readPeerSecret.js'
import { storeConstants } from '../store/constants.js'
import type { Logger } from '../../../types/logger.js'
import type { StoreClient } from '../model/storeClient.js'

/** Reads the secret that all hosts share, and retries while the store is unavailable, until `stopSignal` is aborted. */
export async function readPeerSecretWithRetry (
  store: StoreClient,
  key: string,
  logger: Logger,
  stopSignal?: AbortSignal
): Promise<string> {
  for (let failures = 0; ; failures++) {
    stopSignal?.throwIfAborted()
    try {
      return await readPeerSecret(store, key)
    } catch (error) {
      if (failures === 0) logger.recordWarning('peer secret not readable', { reason: (error as Error).message })
      await delay(Math.min(storeConstants.retryMs * 2 ** failures, storeConstants.maxRetryMs))
    }
  }
}
