/** Source of time. `readMonotonicMs` never goes back; `readWallMs` is milliseconds since the epoch. */
export interface Clock {
  readMonotonicMs (): number
  readWallMs (): number
}
