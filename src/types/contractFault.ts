/** One fault of a contract; `path` names the field, e.g. `kinds.bake-plan.stages.2.after`. */
export interface ContractFault {
  readonly path: string
  readonly message: string
}
