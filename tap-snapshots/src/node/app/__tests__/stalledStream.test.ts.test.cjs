/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/node/app/__tests__/stalledStream.test.ts > TAP > the time without progress follows the declared pause, and ends before clients leave where another engine can go on > must match snapshot 1`] = `
Array [
  Object {
    "latencyAimMs": 600,
    "other": 2400,
    "pauseAimMs": 150,
    "resumable": 2000,
  },
  Object {
    "latencyAimMs": 1700,
    "other": 6800,
    "pauseAimMs": 500,
    "resumable": 4000,
  },
  Object {
    "latencyAimMs": 2700,
    "other": 10800,
    "pauseAimMs": 600,
    "resumable": 4800,
  },
  Object {
    "latencyAimMs": 1000,
    "other": 4000,
    "pauseAimMs": 0,
    "resumable": 4000,
  },
]
`
