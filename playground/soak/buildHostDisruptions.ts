import type { SoakDisruption } from './soakDisruption.js'
import type { SoakHostRun } from './soakHostRun.js'

/** Builds the disruptions that a host's process has from its starts and from signals; an end by itself is none. */
export function buildHostDisruptions (runs: readonly SoakHostRun[]): readonly SoakDisruption[] {
  return runs.flatMap(({ host: id, startedAtMs, signals, end, slowed }): readonly SoakDisruption[] => [
    { type: 'start', id, fromMs: startedAtMs, toMs: startedAtMs },
    ...slowed.map(({ fromMs, toMs }): SoakDisruption => ({ type: 'slow', id, fromMs, toMs })),
    ...signals.flatMap(({ signal, atMs }): readonly SoakDisruption[] => {
      const resumedAtMs = signals.find(other => other.signal === 'SIGCONT' && other.atMs > atMs)?.atMs
      switch (signal) {
        case 'SIGTERM': return [{ type: 'stop', id, fromMs: atMs, toMs: end?.atMs ?? Infinity }]
        case 'SIGHUP': return [{ type: 'reload', id, fromMs: atMs, toMs: atMs }]
        case 'SIGKILL': return [{ type: 'host', id, fromMs: atMs, toMs: end?.atMs ?? atMs }]
        case 'SIGSTOP': return [{ type: 'host', id, fromMs: atMs, toMs: resumedAtMs ?? end?.atMs ?? Infinity }]
        default: return []
      }
    })
  ])
}
