/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`playground/experiment/__tests__/runExperiment.test.ts > TAP > each request of a day has one outcome, and the same seed gives the same day > must match snapshot 1`] = `
ferry calm seed 7: credit 0.996 of at most 1.000, 0 refused attempts, 2143110 prompt tokens read

requests                asked    on time       late    refused     failed     credit     p50 ms     p95 ms
all                       617        614          3          0          0      0.996       1101       1847
label                     271        271          0          0          0      1.000        504        832
question                  168        165          3          0          0      0.985       1227       1847
report                    178        178          0          0          0      1.000       1453       2036

sent from               asked    on time       late    refused     failed     credit     p50 ms     p95 ms
0 s                       442        442          0          0          0      1.000        966       1773
2 s                       175        172          3          0          0      0.985       1177       1896

stage service       upstreams      calls     pieces     a call       busy    no room       gone crossed MB
archive                    12        102        797        7.8       0.97          0          0          0
roster                     12         84       2082       24.8       0.84          0          0          5
notices                    12         77       2057       26.7       0.86          1          0        134

`
