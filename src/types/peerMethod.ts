/** A gRPC method between entry hosts with its codec. */
export interface PeerMethod<Request, Response> {
  /** Full path, e.g. `/lycheetrack.Peer/Ping`. */
  readonly path: string
  readonly streaming: boolean
  encodeRequest (request: Request): Uint8Array
  decodeRequest (bytes: Uint8Array): Request
  encodeResponse (response: Response): Uint8Array
  decodeResponse (bytes: Uint8Array): Response
}
