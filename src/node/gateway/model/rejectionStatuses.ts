/** Statuses with which an upstream rejects a request for lack of room. */
export const rejectionStatuses: ReadonlySet<number> = new Set([429, 503])
