/** Whether an error, or one of its causes, has a code of the operating system. */
export function hasErrorCode (error: unknown, code: string): boolean {
  if (!(error instanceof Error)) return false
  return (error as NodeJS.ErrnoException).code === code || hasErrorCode(error.cause, code)
}
