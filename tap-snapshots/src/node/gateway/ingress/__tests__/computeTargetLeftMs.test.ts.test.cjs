/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/node/gateway/ingress/__tests__/computeTargetLeftMs.test.ts > TAP > the time to the target by the time that the client has left > must match snapshot 1`] = `
Array [
  Object {
    "first": 2700,
    "resumed": 2700,
    "timeLeftMs": 19000,
  },
  Object {
    "first": -3800,
    "resumed": 2700,
    "timeLeftMs": 12000,
  },
  Object {
    "first": -13800,
    "resumed": 2000,
    "timeLeftMs": 2000,
  },
]
`
