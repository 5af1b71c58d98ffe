import { BurnReporter } from './burnReporter.js'
import type { BurnReporterOptions } from './burnReporterOptions.js'

/** Creates the burn reporter of a host and registers its handler on the transport. */
export function createBurnReporter (options: BurnReporterOptions): BurnReporter {
  return new BurnReporter(options)
}
