import type { UpstreamAnswerHead } from '../model/upstreamAnswerHead.js'

/** Decodes the head of an upstream's answer; header names are in lower case. */
export type AnswerDecoder = (status: number, headers: Readonly<Record<string, string | string[] | undefined>>) => UpstreamAnswerHead
