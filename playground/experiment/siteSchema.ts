import { z } from 'zod'

const distribution = z.object({ mean: z.number(), spread: z.number().default(0), max: z.number().default(Number.MAX_SAFE_INTEGER) })
const servers = z.array(z.object({ zone: z.string(), count: z.number() }))
const fault = z.object({
  kind: z.string(),
  at: z.number().default(0),
  for_s: z.number().optional(),
  x: z.number().optional(),
  class: z.string().optional(),
  service: z.string().optional(),
  share: z.number().optional()
})
const source = z.object({
  zone: z.string(),
  per_s: z.number(),
  mix: z.record(z.string(), z.number()),
  shape: z.object({ swing: z.number().default(0), period_s: z.number().default(1), phase: z.number().default(0), clump: z.number().default(1) })
})
const service = z.object({
  name: z.string(),
  slots: z.number(),
  servers,
  noise: z.object({ share: z.number(), x: z.number(), every_ms: z.number() }).default({ share: 0, x: 1, every_ms: 1000 }),
  stage: z.object({ batch: z.number(), call_ms: z.number(), item_ms: z.number(), room_mb: z.number(), handle_s: z.number() }).optional(),
  llm: z.object({
    prefill_tokens_per_ms: z.number(),
    first_ms: z.number(),
    step_ms: z.number(),
    step_ms_per_slot: z.number(),
    stride: z.number(),
    kv_tokens: z.number()
  }).optional()
})
const stage = z.object({
  service: z.string(),
  after: z.array(z.number()).default([]),
  bytes: z.number(),
  share: z.number().default(1),
  pieces: distribution.optional(),
  work_x: z.number().default(1)
})
const kind = z.object({
  name: z.string(),
  aim_ms: z.number(),
  deadline_ms: z.number(),
  timeout_ms: z.number().optional(),
  worth: z.number(),
  late_worth: z.number(),
  priority: z.number(),
  retries: z.number(),
  stages: z.array(stage).default([]),
  stream: z.object({
    pieces: distribution,
    prompt_tokens: distribution,
    chain: z.array(z.object({ tokens: distribution, things: z.number() }))
  }).optional()
})

/** The fields of a site file that experiments use; other fields are ignored. */
export const siteSchema = z.object({
  name: z.string(),
  length_s: z.number(),
  thin: z.number().default(1),
  machines: z.array(z.object({ count: z.number() })),
  net: z.object({ cross_zone_ms: z.number(), client_ms: z.number() }),
  services: z.array(service),
  classes: z.array(kind),
  day: z.array(z.object({ name: z.string(), plan: z.array(fault).default([]), faults: z.array(fault).default([]), traffic: z.array(source) }))
})
