/** Work in milliseconds at usual speed. `repeated` was done by retries and hedges, the result of `wasted` was not used. */
export interface StageCost {
  done: number
  wasted: number
  repeated: number
}
