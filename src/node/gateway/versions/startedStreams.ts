import { versionConstants } from './constants.js'
import type { StreamRecord } from './streamRecord.js'

interface StartedStream extends StreamRecord {
  readonly startedAtMs: number
  /** Whether the store has been asked to hold a record of the stream. */
  readonly isRecorded: boolean
}

/** The streams that began at this host, for as long as clients may resume them. */
export class StartedStreams {
  /** By digest, in the order of the beginning. */
  private readonly streams = new Map<string, StartedStream>()

  find (service: string, streamHash: string): StartedStream | undefined {
    const stream = this.streams.get(streamHash)
    return stream?.service === service ? stream : undefined
  }

  add (stream: StartedStream): void {
    this.streams.delete(stream.streamHash)
    this.streams.set(stream.streamHash, stream)
    for (const [hash, { startedAtMs }] of this.streams) {
      const isExpired = startedAtMs < stream.startedAtMs - versionConstants.streamLifetimeMs
      if (!isExpired && this.streams.size <= versionConstants.maxStartedStreams) break
      this.streams.delete(hash)
    }
  }

  listRecorded (): readonly StreamRecord[] {
    return [...this.streams.values()].filter(stream => stream.isRecorded)
  }
}
