/** HELP texts of the metrics, by name without prefix and unit. */
export const metricHelp: Readonly<Record<string, string>> = {
  requests: 'Finished or refused requests by kind, outcome code and ran state.',
  request_duration: 'Time from the arrival of a request to its last byte.',
  stage_duration: 'Time of one stage attempt at an upstream.',
  process_cpu_seconds_total: 'Processor time of the process.',
  process_resident_memory_bytes: 'Resident memory of the process.',
  process_start_time_seconds: 'Start of the process, seconds since the epoch.',
  event_loop_delay: 'Time by which the event loop ran its timers late.',
  metric_series_dropped_total: 'Values dropped because their metric has too many label combinations.'
}
