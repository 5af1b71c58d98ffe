/** State of a process that runs a host. */
export type HostState = 'starting' | 'running' | 'draining'
