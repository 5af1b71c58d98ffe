/** Whether an error, or one of its causes, says that another socket listens at the address. */
export function isAddressInUse (error: unknown): boolean {
  if (!(error instanceof Error)) return false
  return (error as NodeJS.ErrnoException).code === 'EADDRINUSE' || isAddressInUse(error.cause)
}
