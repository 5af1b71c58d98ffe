/** A stand-in of a deployment. Those of the key-value service, the host list and the weight store have no pool. */
export interface StandInPlacement {
  readonly pool?: string
  readonly failureDomain?: string
  readonly options: Readonly<Record<string, unknown>> & { readonly type: string, readonly id: string }
}
