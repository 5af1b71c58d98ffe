/**
 * The invariants that a history is checked against; see docs/PROVED.md. The last five are requirements of
 * scenarios. `proof_is_meaningful` is violated when a scenario ended with an error, fewer than a quarter of the requests
 * were answered, or no contract change was accepted.
 */
export type Invariant =
  | 'whole_own_answer'
  | 'no_answer_lost'
  | 'not_run_is_true'
  | 'at_most_once'
  | 'no_work_for_leaving_upstreams'
  | 'revisions_linearizable'
  | 'revisions_monotonic'
  | 'in_force_in_time'
  | 'idempotent_requests_answered'
  | 'no_unknown_without_fault'
  | 'planned_stop_is_seamless'
  | 'streams_not_cut'
  | 'proof_is_meaningful'
