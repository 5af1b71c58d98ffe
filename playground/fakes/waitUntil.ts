import { setTimeout as waitTime } from 'node:timers/promises'

/** Resolves as soon as the condition holds, or after 3 s, so that the assertion that follows reports the failure. */
export async function waitUntil (isTrue: () => boolean): Promise<void> {
  for (let round = 0; round < 600 && !isTrue(); round++) await waitTime(5)
}
