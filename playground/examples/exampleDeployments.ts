import type { ExampleDeployment } from './exampleDeployment.js'
import ferry from './ferry.json' with { type: 'json' }
import kouign from './kouign.json' with { type: 'json' }

/** The example deployments by name. */
export const exampleDeployments: Readonly<Record<string, ExampleDeployment>> = {
  ferry: ferry as ExampleDeployment,
  kouign: kouign as ExampleDeployment
}
