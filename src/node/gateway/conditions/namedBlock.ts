import type { ConditionBlock } from './conditionBlock.js'

/** A block with the name of the condition that it comes from. */
export interface NamedBlock extends ConditionBlock {
  readonly condition: string
}
