/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`playground/demo/__tests__/summaries.test.ts > TAP > summaries of a run > must match snapshot 1`] = `
kind          sent  whole  refused (not run)  abandoned  failed  p50 ms  p99 ms  attainment  promised
log-digest       1      1                  0          0       0    6001    6001      100.0%     95.0%
signal-query     0      0                  0          0       0       -       -      100.0%     95.0%
bell-issue       3      2                  1          0       0      20    1601       33.3%     99.0%
status-read      1      0                  0          0       1       -       -        0.0%     99.0%

`
