import { setTimeout as waitTime } from 'node:timers/promises'

/** Resolves when the condition holds, or after about 3 s, so that the assertion that follows reports the failure. */
export async function waitUntil (isMet: () => boolean): Promise<void> {
  for (let attempt = 0; attempt < 600 && !isMet(); attempt++) await waitTime(5)
}
