import type { PolicyName } from './policyName.js'

/** Pooled measures of one scenario under each policy. */
export interface ScenarioMeasures {
  readonly scenario: string
  readonly policies: ReadonlyMap<PolicyName, ReadonlyMap<string, number>>
}
