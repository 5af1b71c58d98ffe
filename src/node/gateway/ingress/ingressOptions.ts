import type { ClientRequest } from '../model/clientRequest.js'
import type { ConfigurationHolder } from '../configuration/configurationHolder.js'
import type { ErrorHeaderEncoder } from './errorHeaderEncoder.js'
import type { HeapGuard } from '../memory/heapGuard.js'
import type { IncomingMessage } from 'node:http'
import type { RequestMemory } from '../memory/requestMemory.js'
import type { RequestRunDependencies } from './requestRunDependencies.js'

/** Components and limits that the server for clients uses. */
export interface IngressOptions {
  readonly configuration: ConfigurationHolder
  readonly dependencies: RequestRunDependencies
  readonly requestMemory: RequestMemory
  /** Connections beyond this number are closed at once. */
  readonly maxConnections: number
  readonly heap: Pick<HeapGuard, 'admit'>
  readonly encodeErrorHeaders: ErrorHeaderEncoder
  readonly decodeRequest: (request: IncomingMessage) => ClientRequest | undefined
}
