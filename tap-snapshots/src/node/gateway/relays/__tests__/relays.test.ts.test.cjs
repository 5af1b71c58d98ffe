/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/node/gateway/relays/__tests__/relays.test.ts > TAP > signs of a cut from all upstreams > must match snapshot 1`] = `
0 ms, one upstream refuses connections: none
0 ms, another one, after a connection was opened: none
0 ms, two refuse connections: connections fail
0 ms, the links were checked: none
5000 ms, no request is in progress: none
5999 ms, a request is in progress: none
6000 ms, nothing has arrived: silence
6000 ms, bytes have arrived: none
7000 ms, a connection was opened, but nothing has arrived on it: silence
7000 ms, all requests have ended: none
`
