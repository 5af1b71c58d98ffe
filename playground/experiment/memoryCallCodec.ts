import type { StageCallCodec } from '../../src/node/gateway/model/stageCallCodec.js'

/** Codec of the calls to simulated stage upstreams: plain JSON of the TypeScript types. */
export const memoryCallCodec: StageCallCodec = {
  runPath: '/run',
  releasePath: '/release',
  encodeHeaders: () => [],
  encodePieces: pieces => JSON.stringify(pieces),
  encodeRelease: handles => JSON.stringify(handles),
  decodeResults: body => JSON.parse(body)
}
