/** `version` is the new version when the write took effect, else the version that is stored. */
export interface CompareAndSwapResult {
  readonly swapped: boolean
  readonly version: number
}
