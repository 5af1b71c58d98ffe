import type { ResumeHint } from './resumeHint.js'

interface HintFields {
  readonly hintUpstreamId?: string | null
  readonly hintStreamId?: string | null
  readonly hintGeneration?: number | null
}

/** Decodes the resume hint of a directory message; undefined when the generation has not started. */
export function decodeResumeHint (message: HintFields): ResumeHint | undefined {
  if (!message.hintStreamId) return undefined
  return { upstreamId: message.hintUpstreamId ?? '', streamId: message.hintStreamId, generation: message.hintGeneration ?? 0 }
}
