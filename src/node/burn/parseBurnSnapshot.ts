import { BurnSnapshotInvalidError } from './burnSnapshotInvalidError.js'
import { burnSchemas } from './burnSchemas.js'
import type { BurnSnapshot } from './burnSnapshot.js'

/** Reads a snapshot from the JSON text of a peer. Throws `BurnSnapshotInvalidError`. */
export function parseBurnSnapshot (text: string): BurnSnapshot {
  try {
    return burnSchemas.snapshot.parse(JSON.parse(text))
  } catch (error) {
    throw new BurnSnapshotInvalidError('a peer sent no valid burn snapshot', { cause: error })
  }
}
