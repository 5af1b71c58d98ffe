import type { PromptPart } from '../model/promptPart.js'

/** A request whose placement is asked for. */
export interface PlacementQuery {
  readonly hostName: string
  readonly path: string
  /** Decides between the services of a route with several, and whether a request is within a share. */
  readonly requestId: string
  /** Name of the account; empty for a request without one. */
  readonly account: string
  /** Time for which the client waits; undefined for the time of the route. */
  readonly timeLeftMs: number | undefined
  readonly promptTokens: number
  readonly promptParts: readonly PromptPart[]
}
