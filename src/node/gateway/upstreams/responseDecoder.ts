import type { UpstreamResponseHead } from '../model/upstreamResponseHead.js'

/** Decodes the head of an upstream's response; header names are in lower case. */
export type ResponseDecoder = (
  status: number,
  headers: Readonly<Record<string, string | string[] | undefined>>
) => UpstreamResponseHead
