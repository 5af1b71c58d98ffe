import { RequestDirectory } from '../../src/node/requests/requestDirectory.js'
import { RequestEntry } from '../../src/node/requests/requestEntry.js'
import { RequestRegistry } from '../../src/node/requests/requestRegistry.js'
import type { RequestIdentity } from '../../src/node/requests/requestIdentity.js'
import { hashText } from '../../src/shared/hashText.js'
import type { CapacitySeries } from './capacitySeries.js'
import { capacityConstants } from './constants.js'
import { createSeries } from './createSeries.js'
import { readHeapBytes } from './readHeapBytes.js'

const tokens = [0, 64, 256, 1024]
const entriesWithLog = 200
/** Running requests at one of 340 hosts when each of 26,000 requests/s takes the 11 s of its deadline. */
const targetRunning = Math.ceil(26_000 * 11 / 340)
/** Directory entries live for 90 s after their last update, at two hosts: 26,000 x 90 x 2 / 340. A host keeps at most 50,000. */
const targetEntries = Math.ceil(26_000 * 90 * 2 / 340)

/** Measures the memory of running requests with their answers, and of directory entries. */
export async function runRequestTables (): Promise<readonly CapacitySeries[]> {
  const part = 'requests'
  return [
    createSeries({ part, figure: 'memory of running requests (registry)', unit: 'MB', sizeName: 'running requests', targetSize: targetRunning }, capacityConstants.running.map(count => [count, [computeRegistryBytes(count, 0) / 1e6]])),
    createSeries({ part, figure: 'memory of directory entries', unit: 'MB', sizeName: 'entries', targetSize: targetEntries }, capacityConstants.running.map(count => [count, [computeDirectoryBytes(count) / 1e6]])),
    createSeries({ part, figure: 'memory of one running request with its answer log', unit: 'KB', sizeName: 'tokens', targetSize: 1024 }, tokens.map(count => [count, [computeRegistryBytes(entriesWithLog, count) / entriesWithLog / 1e3]]))
  ]
}

function buildIdentity (index: number): RequestIdentity {
  const tail = index.toString(16).padStart(12, '0')
  const bodyHash = Array.from({ length: 8 }, (_, i) => hashText(`${index}/${i}`).toString(16).padStart(8, '0')).join('')
  return { account: `account-${index % 500}`, requestId: Buffer.from(`018bcfe5-6800-7000-8000-${tail}`).toString(), bodyHash }
}

function computeRegistryBytes (count: number, tokenCount: number): number {
  const before = readHeapBytes()
  const registry = new RequestRegistry()
  for (let i = 0; i < count; i++) {
    const entry = new RequestEntry(buildIdentity(i))
    entry.role = 'owner'
    entry.updateState('admit')
    entry.updateState('run')
    entry.hint = { upstreamId: `runner-${i % 64}`, streamId: `account/${i}/answer/1`, generation: 1 }
    entry.log.startGeneration(1)
    // In a real host, tokens are slices of a chunk from the engine; here each is a string of its own.
    for (let j = 0; j < tokenCount; j++) entry.log.addTokens([JSON.stringify(`marker-${i}.${j} `)])
    registry.add(entry)
  }
  const bytes = readHeapBytes() - before
  // Keeps the registry from being collected before the memory is read.
  registry.list()
  return bytes
}

function computeDirectoryBytes (count: number): number {
  const before = readHeapBytes()
  const directory = new RequestDirectory()
  for (let i = 0; i < count; i++) {
    const hint = { upstreamId: `runner-${i % 64}`, streamId: `account/${i}/answer/1`, generation: 1 }
    directory.register({ identity: buildIdentity(i), ownerId: `host-${i % 340}`, epoch: 1, hint, finished: false }, 0.5)
  }
  const bytes = readHeapBytes() - before
  // Keeps the directory from being collected before the memory is read.
  directory.find('', '')
  return bytes
}
