/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/node/explain/__tests__/explainRequest.test.ts > TAP > each way in which a request ends has its own cause text > must match snapshot 1`] = `
refused: stage queues are too long; the stages were expected to take 2000 ms plus a margin of 100 ms, with 1900 ms left until the target time; queues (on time+late/idle of all upstreams): a=1+2/0of4
rejected with status 404: no route for x (configuration version 7)
timed out: an upstream received the request and did not respond (attempts: 1)
timed out: the request reached no upstream (attempts: 0)
the client disconnected after 7 ms
streamed completely from upstream i of s; longest pause 500 ms
answered with status 500 from upstream i of s
fail after upstream i of s: stalled: no complete event for 2001 ms, 7 bytes of one
fail after upstream i of s: unfinished event of more than 262144 bytes
fail after upstream i of s: foreign-answer: answer to an unnamed request
the response was broken off after 900 bytes: broken: reset before the end of the answer
the host closed the connection with up to 900 bytes of answers unsent (host-stopped)
the host closed the connection without an answer (failure); an upstream was sent the request
the host closed the connection without an answer (response-closed); the request reached no upstream
no log line states how the request ended; the line may have been dropped or the host may have crashed
no log line states how the request ended; the line may have been dropped or the host may have crashed
`

exports[`src/node/explain/__tests__/explainRequest.test.ts > TAP > log lines of several hosts are merged into one timeline with the cause of the end > must match snapshot 1`] = `
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
