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
}
