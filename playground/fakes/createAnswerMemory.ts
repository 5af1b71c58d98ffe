import { AnswerMemory } from '../../src/node/gateway/answers/answerMemory.js'
import { createMemoryMetrics } from './createMemoryMetrics.js'
import { silentLogger } from './silentLogger.js'
import { upstreamConstants } from '../../src/node/upstreams/constants.js'

/** Creates a memory for answers that logs nothing. */
export function createAnswerMemory (limitBytes: number = upstreamConstants.answerMemoryBytes): AnswerMemory {
  return new AnswerMemory({ limitBytes, logger: silentLogger, metrics: createMemoryMetrics() })
}
