/** Kind of the calls of a route: an idempotent call may run more than once, any other call runs at most once unless it is a resumable stream. */
export type CallKind = 'idempotent' | 'once' | 'stream'
