import { randomUUID } from 'node:crypto'
import { realpath, rename, rm, stat, writeFile } from 'node:fs/promises'

/** Resolves with undefined when there is no such file. */
async function readIfPresent<Result> (read: () => Promise<Result>): Promise<Result | undefined> {
  try {
    return await read()
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'ENOENT') return undefined
    throw error
  }
}

/**
 * Replaces a file as a whole, so that no reader finds a part of it. Devices, pipes and files in a folder
 * without the right to add files are written in place. Rejects with the error of the system.
 */
export async function writeTextFile (path: string, text: string): Promise<void> {
  const target = await readIfPresent(async () => await realpath(path)) ?? path
  const state = await readIfPresent(async () => await stat(target))
  if (state !== undefined && !state.isFile()) {
    await writeFile(target, text)
    return
  }
  const unfinished = `${target}.${randomUUID()}.unfinished`
  try {
    await writeFile(unfinished, text, { mode: state?.mode ?? 0o666 })
    await rename(unfinished, target)
  } catch (error) {
    await rm(unfinished, { force: true })
    const isFolderClosed = state !== undefined && (error as NodeJS.ErrnoException).code === 'EACCES'
    if (!isFolderClosed) throw error
    await writeFile(target, text)
  }
}
