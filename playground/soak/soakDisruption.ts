/**
 * A time in which something outside the hosts is disrupted or planned work goes on. `host`: the process of a host is killed or
 * frozen, or its link to the store is disrupted; `store`, `upstream`: likewise. `slow`: the machine
 * gives the process of a host too little processor time. `start`, `stop` and `reload`: a host is
 * started, or gets SIGTERM or SIGHUP. `leaving`: an upstream drains or is gone. `configuration`: a version is written.
 */
export interface SoakDisruption {
  readonly type: 'host' | 'slow' | 'store' | 'upstream' | 'start' | 'stop' | 'reload' | 'leaving' | 'configuration'
  /** IP address of the host or id of the upstream; empty for the store, and the service of the plain routes for a configuration. */
  readonly id: string
  readonly fromMs: number
  /** Infinite when it lasts to the end of the run. */
  readonly toMs: number
}
