/** Work in milliseconds at usual speed. `repeated` is by retries and hedges, `wasted` gave no used result. */
export interface StageCost {
  done: number
  wasted: number
  repeated: number
}
