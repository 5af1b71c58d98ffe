/**
 * Signals in series and heavy clients. `start-reloaded` and `start-stopped` send signals to a process that has just
 * been started, the `stop-` ones to a process that drains; `stop-overlapped` starts the next process meanwhile.
 * `rolling-stops` stops and starts hosts one after another, `large-bodies` sends many large bodies to one host at once.
 */
export const signalFaultTypes = [
  'start-reloaded',
  'start-stopped',
  'stop-repeated',
  'stop-reloaded',
  'stop-overlapped',
  'stop-killed',
  'rolling-stops',
  'reloads',
  'configurations',
  'upstream-drained',
  'large-bodies'
] as const
