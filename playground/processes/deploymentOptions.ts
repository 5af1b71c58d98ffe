import type { ExampleDeployment } from '../examples/exampleDeployment.js'

/** What `createDeployment` needs. */
export interface DeploymentOptions {
  readonly example: ExampleDeployment
  /** Directory of lycheetrack.cjs and playground/standIns.cjs. */
  readonly distDirectory: string
  /** Stand-ins share one process for each type, or have one each. @default 'type' */
  readonly grouping?: 'type' | 'single'
  /** Other LYCHEETRACK_ variables of the entry hosts. */
  readonly hostEnvironment?: Readonly<Record<string, string>>
  /** Port of the first entry host's caller API. @default a free port */
  readonly firstHostPort?: number
  /** Keeps the executions of the stand-ins in files, so that a killed stand-in loses none. @default false */
  readonly writesExecutionLogs?: boolean
  /**
   * Puts something on the link to an address and resolves with the address to use in its place: of an
   * entry host for callers or for peers, or of the key-value service for all hosts.
   */
  readonly openLink?: (kind: 'caller' | 'peer' | 'key-value', id: string, address: string) => Promise<string>
}
