/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/node/explain/__tests__/explainRequest.test.ts > TAP > each end has its cause > must match snapshot 1`] = `
refused: stage queues are too long; the stages would have ended in 2000 ms and 100 ms of margin, with 1900 ms left before the aim; queues (on time+late/idle upstreams): a=1+2/0of4
rejected with 404: no route for x, by version 7 of the configuration
no answer within its time: an upstream had it and did not answer (1 sendings)
no answer within its time: it reached no upstream (0 sendings)
the client left after 7 ms
streamed whole from upstream i of s; longest pause 500 ms
answered with the status 500 of upstream i of s
no line tells the end; it may have been left out or the host may have died
`

exports[`src/node/explain/__tests__/explainRequest.test.ts > TAP > lines of several hosts become one timeline with the cause of the end > must match snapshot 1`] = `
Object {
  "cause": "fail after upstream i-1 of s: broken: other side closed",
  "timeline": Array [
    "      0 ms  h2  stages accepted  isLate=false expectedMs=20",
    "      5 ms  h1  stage call failed  firstRequestId=r1 reason=\\"status 503\\"",
    "     40 ms  h1  attempt ended  upstream=i-1 service=s attempt=1 result=uncertain reason=\\"broken: other side closed\\" action=fail elapsedMs=40",
  ],
  "unreadableCount": 1,
}
`
