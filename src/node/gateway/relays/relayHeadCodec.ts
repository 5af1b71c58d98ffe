import { z } from 'zod'
import { createJsonCodec } from '../../../shared/createJsonCodec.js'
import { isAnswerStatus } from '../../../shared/isAnswerStatus.js'
import type { UpstreamResponseHead } from '../model/upstreamResponseHead.js'

/** Format in which a relaying host passes on the decoded head of a response. */
export const relayHeadCodec = createJsonCodec<UpstreamResponseHead>(z.object({
  status: z.number().refine(isAnswerStatus),
  requestId: z.string().optional(),
  isNotRun: z.boolean(),
  areInputsGone: z.boolean(),
  isMisdirected: z.boolean(),
  closesConnection: z.boolean(),
  isLeaving: z.boolean(),
  isSigned: z.boolean(),
  isFramed: z.boolean(),
  isEventStream: z.boolean().optional(),
  contentLength: z.number().optional(),
  load: z.object({ running: z.number(), waiting: z.number(), slots: z.number(), slowdown: z.number() }).optional(),
  requestLimit: z.union([z.number(), z.literal('unreadable')]).optional(),
  backoffMs: z.union([z.number(), z.literal('unreadable')]).optional(),
  coldMs: z.union([z.number(), z.literal('unreadable')]).optional(),
  // Versions before this field drop it, and a head of theirs without it ends the state of the upstream.
  brittleLimit: z.union([z.number(), z.literal('unreadable')]).optional(),
  forwardedHeaders: z.array(z.string())
}))
