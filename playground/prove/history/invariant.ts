/** The promises that a history is checked against; see docs/PROVED.md. */
export type Invariant =
  | 'whole_own_answer'
  | 'no_answer_lost'
  | 'not_run_is_true'
  | 'at_most_once'
  | 'no_work_for_leaving_upstreams'
  | 'revisions_linearizable'
  | 'revisions_monotonic'
