/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/node/burn/__tests__/renderBurn.test.ts > TAP > the text report shows budgets and the causes of missed requests > must match snapshot 1`] = `
burn report of 2026-01-05T06:50:00.000Z, 1 hosts
no answer from: host-2 (their requests are not counted)

account   kind          target  within  requests 6h  attained 6h  attained 1h  budget left  burn 5m  burn 1h  burn 6h  excluded
<script>  "&            99.00%  500 ms            1        0.00%        0.00%    -9900.00%        -   100.0x   100.0x         0
pier      signal-query  99.00%  500 ms         2000       96.00%       96.00%     -300.00%     4.0x     4.0x     4.0x         0
quay      status-read        -  -              2000      100.00%      100.00%            -        -        -        -         0

what spent the budget in the last hour
<script> "&: code: overloaded 100%
pier signal-query: code: late 100%; stage: generate 100%; upstream: runner-0 50%, runner-1 50%
`
