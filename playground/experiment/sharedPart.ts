import type { Distribution } from './distribution.js'

/** A part of a prompt that requests of a kind share. */
export interface SharedPart {
  readonly tokens: Distribution
  /** Number of different parts, of which each request uses a random one. */
  readonly count: number
}
