import { ingressConstants } from './constants.js'

/** Computes how many connections of clients a host accepts, from the file descriptors that the process may have. */
export function computeConnectionLimit (fileDescriptors: number): number {
  const { reservedDescriptors, clientDescriptorShare, minClientConnections } = ingressConstants
  return Math.max(Math.floor((fileDescriptors - reservedDescriptors) * clientDescriptorShare), minClientConnections)
}
