/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/node/gateway/stages/__tests__/schedulingSession.test.ts > TAP > jobs of one session end with their own outcomes, in any order > must match snapshot 1`] = `
Array [
  Object {
    "engineId": "e",
    "outputDomain": "quay-a",
    "outputs": Array [
      Object {
        "handles": Array [
          "h1",
          "h2",
        ],
        "index": 0,
      },
    ],
    "type": "completed",
  },
  Object {
    "reason": "behind",
    "type": "declined",
  },
  Object {
    "reason": "the scheduling host failed",
    "type": "failed",
  },
]
`
