import type { ExampleDeployment } from '../examples/exampleDeployment.js'

/** Options of `createDeployment`. */
export interface DeploymentOptions {
  readonly example: ExampleDeployment
  /** Directory of lycheetrack.cjs and playground/standIns.cjs. */
  readonly distDirectory: string
  /** Whether stand-ins share one process for each type or have one each. @default 'type' */
  readonly grouping?: 'type' | 'single'
  /** Additional LYCHEETRACK_ variables of the entry hosts. */
  readonly hostEnvironment?: Readonly<Record<string, string>>
  /** Port of the first entry host's caller API. @default a free port */
  readonly firstHostPort?: number
  /** Writes the execution logs of the stand-ins to files, so that they survive a killed stand-in. @default false */
  readonly writesExecutionLogs?: boolean
  /**
   * Puts a proxy in front of an address and resolves with the address to use instead. `caller` and `peer`: address of an
   * entry host for callers or for other hosts; `key-value`: address of the key-value service for all hosts.
   */
  readonly openLink?: (kind: 'caller' | 'peer' | 'key-value', id: string, address: string) => Promise<string>
}
