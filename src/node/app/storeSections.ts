import type { StoreSection } from '../gateway/store/storeSection.js'

/** The receivers of all that a gateway host follows in the store. */
export interface StoreSections {
  readonly configuration: StoreSection
  readonly evacuations: StoreSection
  readonly upstreams: StoreSection
  readonly hosts: StoreSection
  readonly crashes: StoreSection
  readonly streamVersions: StoreSection
  readonly secret: StoreSection
}
