/** A stand-in of a deployment; the platform's stand-ins have no pool. */
export interface StandInPlacement {
  readonly pool?: string
  readonly failureDomain?: string
  readonly options: Readonly<Record<string, unknown>> & { readonly type: string, readonly id: string }
}
