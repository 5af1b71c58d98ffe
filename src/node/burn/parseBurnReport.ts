import { burnSchemas } from './burnSchemas.js'
import type { BurnReport } from './burnReport.js'

/** Validates a burn report read from JSON; throws a `ZodError` if it does not match the schema. */
export function parseBurnReport (value: unknown): BurnReport {
  return burnSchemas.report.parse(value)
}
