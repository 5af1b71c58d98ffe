/** HELP texts of the metrics, by the name under which they are rendered. */
export const metricHelp: Readonly<Record<string, string>> = {
  lycheetrack_requests_total: 'Finished and refused requests by outcome: completed or an error code.',
  lycheetrack_request_duration_seconds: 'Time from the arrival of a request to its last byte.',
  lycheetrack_answers_dropped_total: 'Late answers of abandoned stage attempts.',
  lycheetrack_takeovers_total: 'Requests taken over from a host that died or did not answer.',
  lycheetrack_runs_superseded_total: 'Runs that this host stopped because another host had taken the request over.',
  lycheetrack_membership_hosts: 'Entry hosts that this host knows and does not hold for dead, itself included.',
  lycheetrack_peer_bytes_sent_total: 'Bytes sent to other entry hosts, by method.',
  lycheetrack_peer_bytes_received_total: 'Bytes received from other entry hosts, by method.',
  lycheetrack_event_loop_delay_seconds: 'Time by which the event loop ran its timers late since the last reading.',
  lycheetrack_metric_series_dropped_total: 'Values dropped because their metric has too many label combinations.',
  lycheetrack_domain_evacuations_total: 'Evacuations of failure domains that this host has learned of.',
  lycheetrack_evacuated_domains: 'Failure domains that are evacuated.',
  lycheetrack_cold_upstreams_seen_total: 'Cold times of upstreams that this host has learned of, by the source of the statement.',
  lycheetrack_cold_requests_sent_total: 'Requests that this host has sent to cold upstreams.',
  lycheetrack_upstream_sends_held_back_total: 'Exchanges that were not sent because a condition held their upstream back after it was chosen.',
  lycheetrack_engine_refusals_total: 'Requests refused at arrival because no engine of the service could begin them before their deadline.',
  lycheetrack_engine_condition_changes_total: 'Changes of the speed of engines relative to their service: usual, slow, or slow under load.',
  process_cpu_seconds_total: 'Processor time of the process.',
  process_resident_memory_bytes: 'Resident memory of the process.',
  process_memory_reads_failed_total: 'Reads of the resident memory that failed; the last value stays.',
  process_start_time_seconds: 'Start of the process, seconds since the epoch.'
}
