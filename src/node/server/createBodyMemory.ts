import { serverConstants } from './constants.js'
import { SharedMemory } from '../gateway/memory/sharedMemory.js'

/** Creates the memory for the bodies that a host receives at a time; the largest body always has room in it. */
export function createBodyMemory (maxBodyBytes: number): SharedMemory {
  const { bodyMemoryBytes, minBodyMultiple } = serverConstants
  return new SharedMemory(Math.max(bodyMemoryBytes, maxBodyBytes * minBodyMultiple))
}
