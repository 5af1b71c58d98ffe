import { randomBytes } from 'node:crypto'
import { StoreUnavailableError } from '../../../shared/storeUnavailableError.js'
import type { StoreClient } from '../model/storeClient.js'

const secretBytes = 24

/** Reads the secret that all hosts share; the first host creates it. Rejects with the errors of the store. */
export async function readPeerSecret (store: StoreClient, key: string): Promise<string> {
  const item = await store.readItem(key)
  if (item !== undefined) return item.value.toString('utf8')
  const value = Buffer.from(randomBytes(secretBytes).toString('base64'))
  await store.writeConditionally({ conditions: [{ key, revision: 0 }], writes: [{ key, value }], removals: [] })
  // Another host may have written its secret first; then that one applies.
  const written = await store.readItem(key)
  if (written === undefined) throw new StoreUnavailableError('the peer secret is missing after it was written')
  return written.value.toString('utf8')
}
