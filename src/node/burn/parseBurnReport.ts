import { burnSchemas } from './burnSchemas.js'
import type { BurnReport } from './burnReport.js'

/** Reads a burn report from parsed JSON. Throws a `ZodError` when it is none. */
export function parseBurnReport (value: unknown): BurnReport {
  return burnSchemas.report.parse(value)
}
