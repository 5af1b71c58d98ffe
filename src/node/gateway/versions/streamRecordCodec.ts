import { z } from 'zod'
import { createJsonCodec } from '../../../shared/createJsonCodec.js'
import type { StreamRecord } from './streamRecord.js'

type RecordsByVersion = Readonly<Record<string, Readonly<Record<string, readonly string[]>>>>

const codec = createJsonCodec<RecordsByVersion>(z.record(z.string(), z.record(z.string(), z.array(z.string()))))

/** Format of stream records in the store: digests by service and version. */
export const streamRecordCodec = {
  encode: (records: readonly StreamRecord[]): Buffer => {
    const hashes: Record<string, Record<string, string[]>> = {}
    for (const { service, version, streamHash } of records) ((hashes[service] ??= {})[version] ??= []).push(streamHash)
    return codec.encode(hashes)
  },
  /** Undefined for bytes that are no records. */
  decode: (bytes: Buffer): readonly StreamRecord[] | undefined => {
    const hashes = codec.decode(bytes)
    return hashes === undefined ? undefined : Object.entries(hashes).flatMap(listServiceRecords)
  }
} as const

function listServiceRecords ([service, versions]: readonly [string, RecordsByVersion[string]]): readonly StreamRecord[] {
  return Object.entries(versions).flatMap(([version, hashes]) => hashes.map(streamHash => ({ service, version, streamHash })))
}
