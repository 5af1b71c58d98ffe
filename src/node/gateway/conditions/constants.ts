/** Parameters of the conditions of upstreams. */
export const conditionConstants = {
  /** Hosts that share the allowance of a cold upstream. With one, the upstream gets nothing while that host is away. */
  coldHosts: 2,
  /**
   * Hosts that may take themselves for one that shares, for each that does, without more requests than the upstream
   * bears: a cut store gives two views of the fleet, and the third part is for hosts that come and go.
   */
  coldViews: 3,
  /** Part of the allowance that a host uses, because requests may arrive closer together than they were sent. */
  coldShareUsed: 0.9,
  /**
   * Time after which a host that has become ready shares: hosts that start together know each other by then, also after
   * two lost calls to the store.
   */
  coldSettleMs: 5000,
  /** Interval at which the hosts that share are chosen again. */
  coldRefreshMs: 1000,
  /** Hosts that share the places of a brittle upstream, with at most this part of them each, also when fewer are known. */
  brittleHosts: 4,
  /** Views of the fleet for which the rejections of the hosts that share are divided: a cut store gives two. */
  brittleViews: 2,
  /** Places of a brittle upstream of which one stays free for requests of hosts that do not know yet that it is brittle. */
  brittleSparePlaces: 8,
  /**
   * Below so many rejections a second, half of the places are used: two hosts that find no room at the same time end the
   * upstream, so two views of the fleet together must not exceed its places.
   */
  brittleFewRejections: 2,
  /** Part of its share that a host uses first, so that two views of the fleet together do not exceed the places. */
  brittleFirstShare: 0.5,
  /** Reports that are older than this do not count any more once an upstream of the service answers without one. */
  brittleReportMs: 2000,
  /** Time for which an answer without a report counts for its upstream while others of its service report. */
  brittleClearMs: 1000,
  /** Shortest time without answers after which a period is doubtful; health checks ask then, which take no place. */
  brittleSilenceMs: 2000,
  /** The same where health responses do not report, so that requests have to ask: hosts without a share are many. */
  brittleLongSilenceMs: 16_000,
  /** Time for which a doubtful period still holds requests back, while nothing answers. */
  brittleDoubtMs: 8000,
  /** Interval at which a host checks the health of an upstream of a service whose period is doubtful. */
  brittleCheckMs: 500,
  /** Pause after a rejection; longer when the upstream bears fewer rejections than hosts may share it. */
  brittlePauseMs: 1000,
  /** Pause after a rejection of the only request; doubles with each further one. */
  brittleFloorPauseMs: 4000,
  maxBrittlePauseMs: 32_000,
  /** Shortest time until a host takes one place more: hosts are not told of the rejections of others. */
  brittleGrowMs: 4000,
  /** The same at an upstream that states that nothing waits there. */
  brittleFreeGrowMs: 500,
  /** Time until a place is free, before the first request has ended. */
  brittleRoomMs: 300,
  /** Shortest time that is told for it; clients that come again sooner find the place taken. */
  minBrittleRoomMs: 50,
  /** Interval at which the hosts that share the places of a brittle upstream are chosen again. */
  brittleRefreshMs: 1000,
  /** Weight of the newest duration in the mean time for which requests take a place. */
  brittleDurationWeight: 0.1
} as const
