import type { StageCallCodec } from '../../src/node/gateway/model/stageCallCodec.js'

/** Wire format of the stage models: JSON of the types themselves. */
export const memoryCallCodec: StageCallCodec = {
  runPath: '/run',
  releasePath: '/release',
  encodeHeaders: () => [],
  encodePieces: pieces => JSON.stringify(pieces),
  encodeRelease: handles => JSON.stringify(handles),
  decodeResults: body => JSON.parse(body)
}
