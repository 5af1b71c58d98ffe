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
  /** Digests of the streams without a record, by service. */
  private readonly unrecorded = new Map<string, Set<string>>()

  find (service: string, streamHash: string): StartedStream | undefined {
    const stream = this.streams.get(streamHash)
    return stream?.service === service ? stream : undefined
  }

  add (stream: StartedStream): void {
    this.remove(stream.streamHash)
    this.streams.set(stream.streamHash, stream)
    if (!stream.isRecorded) this.getUnrecorded(stream.service).add(stream.streamHash)
    for (const [hash, { startedAtMs }] of this.streams) {
      const isExpired = startedAtMs < stream.startedAtMs - versionConstants.streamLifetimeMs
      if (!isExpired && this.streams.size <= versionConstants.maxStartedStreams) break
      this.remove(hash)
    }
  }

  hasUnrecorded (service: string): boolean {
    return (this.unrecorded.get(service)?.size ?? 0) > 0
  }

  /** Takes the stream of a service for recorded that began first of those without a record; undefined without one. */
  takeUnrecorded (service: string): StreamRecord | undefined {
    const hashes = this.getUnrecorded(service)
    const [streamHash] = hashes
    if (streamHash === undefined) return undefined
    hashes.delete(streamHash)
    const stream = { ...this.streams.get(streamHash)!, isRecorded: true }
    this.streams.set(streamHash, stream)
    return stream
  }

  /** Lists the services that have streams without a record. */
  listUnrecordedServices (): readonly string[] {
    return [...this.unrecorded.keys()]
  }

  listRecorded (): readonly StreamRecord[] {
    return [...this.streams.values()].filter(stream => stream.isRecorded)
  }

  private getUnrecorded (service: string): Set<string> {
    const hashes = this.unrecorded.get(service) ?? new Set<string>()
    this.unrecorded.set(service, hashes)
    return hashes
  }

  private remove (streamHash: string): void {
    const stream = this.streams.get(streamHash)
    this.streams.delete(streamHash)
    if (stream !== undefined) this.getUnrecorded(stream.service).delete(streamHash)
  }
}
