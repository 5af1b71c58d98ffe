/** What may be repeated: an idempotent call may run again, any other call runs at most once. */
export type CallKind = 'idempotent' | 'once' | 'stream'
