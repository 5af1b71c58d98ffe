import { getHeapStatistics } from 'node:v8'
import { AnswerMemory } from '../gateway/answers/answerMemory.js'
import { computeAnswerMemory } from '../gateway/answers/computeAnswerMemory.js'
import { computeRequestMemory } from '../gateway/memory/computeRequestMemory.js'
import { HeapGuard } from '../gateway/memory/heapGuard.js'
import { MemoryWatch } from '../gateway/memory/memoryWatch.js'
import { readMemoryUsage } from '../gateway/memory/readMemoryUsage.js'
import { RequestMemory } from '../gateway/memory/requestMemory.js'
import type { GatewayContext } from './gatewayContext.js'

interface HostMemory {
  readonly answerMemory: AnswerMemory
  readonly requestMemory: RequestMemory
  readonly heap: HeapGuard
  readonly memoryWatch: MemoryWatch
}

/** Creates the bounds of the memory that requests and responses take, and what observes it. */
export function createHostMemory (context: GatewayContext): HostMemory {
  const { settings: { memoryBytes }, clock, logger, metrics } = context
  const answerMemory = new AnswerMemory({ limitBytes: computeAnswerMemory(memoryBytes), logger, metrics })
  const heapLimitBytes = getHeapStatistics().heap_size_limit
  const heap = new HeapGuard({
    heapLimitBytes,
    readHeapBytes: () => getHeapStatistics().used_heap_size,
    collectGarbage: globalThis.gc,
    clock,
    logger,
    metrics
  })
  const limits = computeRequestMemory(memoryBytes, heapLimitBytes)
  const requestMemory = new RequestMemory({ limits, heap, clock, logger, metrics })
  const memoryWatch = new MemoryWatch({
    memoryBytes,
    heapLimitBytes,
    readUsage: readMemoryUsage,
    countHeldBytes: () => ({ ...requestMemory.countBytes(), answers: answerMemory.totalBytes }),
    clock,
    logger,
    metrics
  })
  return { answerMemory, requestMemory, heap, memoryWatch }
}
