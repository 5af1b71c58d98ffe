import { BurnSnapshotInvalidError } from './burnSnapshotInvalidError.js'
import { burnSchemas } from './burnSchemas.js'
import type { BurnSnapshot } from './burnSnapshot.js'

/** Parses the JSON text of a peer's snapshot; throws `BurnSnapshotInvalidError` if it is invalid. */
export function parseBurnSnapshot (text: string): BurnSnapshot {
  try {
    return burnSchemas.snapshot.parse(JSON.parse(text))
  } catch (error) {
    throw new BurnSnapshotInvalidError('burn snapshot of a peer is not valid JSON or does not match the schema', { cause: error })
  }
}
