/**
 * Why a section receives all items: `start` for the first time, `gap` when changes may have been missed, `restore` when the
 * store came back from an older copy of itself.
 */
export type SnapshotCause = 'start' | 'gap' | 'restore'
