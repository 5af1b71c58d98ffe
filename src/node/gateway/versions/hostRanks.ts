/** The hosts among which work is divided without messages between them. */
export interface HostRanks {
  /** Id of this host. */
  readonly hostId: string
  /** Lists the ids of the hosts that are ready, as this host knows them. */
  readonly listHostIds: () => readonly string[]
}
