/** Calls `run` `count` times, with at most `concurrency` calls in progress at a time. */
export async function runConcurrently (count: number, concurrency: number, run: (index: number) => Promise<void>): Promise<void> {
  let next = 0
  await Promise.all(Array.from({ length: concurrency }, async () => {
    while (next < count) await run(next++)
  }))
}
