/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/node/peers/__tests__/peerMethods.test.ts > TAP > an encoded rate report decodes to the same fields > must match snapshot 1`] = `
RateReportRequest {
  "entries": Array [
    RateReportEntry {
      "account": "pier",
      "demandPerSecond": 2.5,
    },
  ],
  "hostId": "host-1",
}
`
