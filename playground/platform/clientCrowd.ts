import type { CrowdClient } from './crowdClient.js'

/** Clients that misbehave in the same way, each on a connection of its own. */
export interface ClientCrowd {
  readonly name: string
  readonly count: number
  /** Whether the clients ask for an answer that takes longer than a test. @default false */
  readonly isSlowlyAnswered?: boolean
  /** Sends what one client sends; resolves when it is sent, or when the connection takes nothing more. */
  readonly run: (client: CrowdClient, index: number) => Promise<void>
}
