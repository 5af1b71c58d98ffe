import type { LoadPeakClass } from './loadPeakClass.js'

interface LoadPeakService {
  readonly name: string
  readonly upstreams: number
  readonly batchSize: number
  readonly callMs: number
  readonly pieceMs: number
  readonly resultRoomBytes: number
  readonly resultBytes: number
}

interface LoadPeakModel {
  readonly resultLifetimeMs: number
  readonly services: readonly LoadPeakService[]
  readonly classes: readonly LoadPeakClass[]
}

/**
 * Services and classes of a load peak. The services have the measured sizes of a deployment of 25 hosts; the classes
 * use about 0.7 of the first service before the crest.
 */
export const loadPeakModel: LoadPeakModel = {
  resultLifetimeMs: 4000,
  services: [
    { name: 'a', upstreams: 13, batchSize: 16, callMs: 240, pieceMs: 13, resultRoomBytes: 19e6, resultBytes: 800_000 },
    { name: 'b', upstreams: 10, batchSize: 50, callMs: 240, pieceMs: 4.1, resultRoomBytes: 5.5e6, resultBytes: 60_000 },
    { name: 'c', upstreams: 13, batchSize: 58, callMs: 240, pieceMs: 3.5, resultRoomBytes: 640_000, resultBytes: 6000 }
  ],
  classes: [
    { name: 'view', priority: 0, requestsPerSecond: 26, targetMs: 1500, deadlineMs: 6000, stages: [{ service: 'a', pieces: [1, 6] }] },
    {
      name: 'chain',
      priority: 1,
      requestsPerSecond: 22,
      targetMs: 3000,
      deadlineMs: 9000,
      stages: [{ service: 'a', pieces: [2, 10] }, { service: 'b', pieces: [8, 30] }, { service: 'c', pieces: [10, 50] }]
    },
    {
      name: 'reverse',
      priority: 2,
      requestsPerSecond: 14,
      targetMs: 4000,
      deadlineMs: 12_000,
      stages: [{ service: 'c', pieces: [5, 30] }, { service: 'b', pieces: [5, 30] }, { service: 'a', pieces: [1, 6] }]
    },
    { name: 'rank', priority: 2, requestsPerSecond: 12, targetMs: 1200, deadlineMs: 6000, stages: [{ service: 'c', pieces: [10, 58] }] }
  ]
}
