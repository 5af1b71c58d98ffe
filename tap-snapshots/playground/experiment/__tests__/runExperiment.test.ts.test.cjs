/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`playground/experiment/__tests__/runExperiment.test.ts > TAP > each request of a day has one outcome, and the same seed gives the same report > must match snapshot 1`] = `
ferry calm seed 7: credit 0.983 of at most 1.000, 0 refused attempts, 2149274 prompt tokens read

requests  asked  on time  late  refused  failed  credit  p50 ms  p95 ms
all         617      611     6        0       0   0.983    1096    1909
label       271      271     0        0       0   1.000     416     609
question    168      168     0        0       0   1.000    1320    1829
report      178      172     6        0       0   0.971    1414    2381

sent from  asked  on time  late  refused  failed  credit  p50 ms  p95 ms
0 s          442      437     5        0       0   0.980     958    1824
2 s          175      174     1        0       0   0.990    1191    2001

stage service  upstreams  calls  pieces  pieces/call  busy  no room  inputs gone  cross-domain MB
archive               12    104     799          7.7  0.97        0            0                0
roster                12     86    2094         24.3  0.86        0            0                6
notices               12     77    2071         26.9  0.88        7            0              106

`
