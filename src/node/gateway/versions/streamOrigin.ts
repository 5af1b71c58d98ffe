/** What is known of the beginning of a stream that a client resumes. */
export type StreamOrigin =
  | {
    readonly type: 'known'
    /** Software version of the upstream that began the stream. */
    readonly version: string
    /** `own`: began at this host; `record`: recorded in the store; `base`: not recorded, so at the base version. */
    readonly source: 'own' | 'record' | 'base',
    /** Time since the store was restored, as far as this host knows; undefined without a restore. */
    readonly sinceRestoreMs?: number
  }
  | { readonly type: 'unknown', readonly reason: string }
