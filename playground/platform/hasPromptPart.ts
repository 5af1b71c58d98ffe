import type { StandInRequest } from './standInRequest.js'

/** Whether a part that other requests may share is in the prompt of a request. */
export function hasPromptPart ({ headers }: StandInRequest, partId: string): boolean {
  const parts = (headers['x-prompt-prefix'] ?? '').split(',').map(part => part.split(':')[0])
  return parts.slice(0, -1).includes(partId)
}
