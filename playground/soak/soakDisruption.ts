/**
 * A time in which a part of a soak test is disrupted or planned work goes on. `host`: a process is killed or frozen, or
 * its link to the store is disrupted; `slow`: the machine gives it too little processor time; `start`, `stop` and
 * `reload`: it is started, or gets SIGTERM or SIGHUP. `store`, `upstream`: the part or its links are disrupted.
 * `leaving`: an upstream drains or is gone. `configuration`: a version is written. `evacuation`: a failure domain is to get
 * nothing. `pouring`: all upstreams of a service answer without end.
 */
export interface SoakDisruption {
  readonly type: 'host' | 'slow' | 'store' | 'upstream' | 'start' | 'stop' | 'reload' | 'leaving' | 'configuration' | 'evacuation' | 'pouring'
  /**
   * IP address of the host, id of the upstream, failure domain, or service that pours or that a configuration's plain
   * routes lead to; empty for the store.
   */
  readonly id: string
  readonly fromMs: number
  /** Infinite when it lasts to the end of the run. */
  readonly toMs: number
}
