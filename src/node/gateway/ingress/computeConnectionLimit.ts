import { ingressConstants } from './constants.js'

/** Computes how many connections a server accepts that may take `share` of the file descriptors of the process. */
export function computeConnectionLimit (fileDescriptors: number, share: number): number {
  const { reservedDescriptors, minClientConnections } = ingressConstants
  return Math.max(Math.floor((fileDescriptors - reservedDescriptors) * share), minClientConnections)
}
