/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/node/metrics/__tests__/createMetrics.test.ts > TAP > counters, gauges and durations render with HELP and TYPE > must match snapshot 1`] = `
# HELP lycheetrack_requests_total Finished and refused requests by outcome: completed or an error code.
# TYPE lycheetrack_requests_total counter
lycheetrack_requests_total{code="a\\"b\\\\c\\nd",kind="bell-issue"} 3
# HELP lycheetrack_running Running requests.
# TYPE lycheetrack_running gauge
lycheetrack_running 4
# HELP lycheetrack_request_duration_seconds Time from the arrival of a request to its last byte.
# TYPE lycheetrack_request_duration_seconds summary
lycheetrack_request_duration_seconds{kind="signal-query",quantile="0.5"} 0.050175
lycheetrack_request_duration_seconds{kind="signal-query",quantile="0.9"} 0.090111
lycheetrack_request_duration_seconds{kind="signal-query",quantile="0.95"} 0.095231
lycheetrack_request_duration_seconds{kind="signal-query",quantile="0.99"} 0.099327
lycheetrack_request_duration_seconds_sum{kind="signal-query"} 5.05
lycheetrack_request_duration_seconds_count{kind="signal-query"} 100

`
