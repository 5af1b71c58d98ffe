/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/node/gateway/versions/__tests__/streamVersions.test.ts > TAP > any host knows at which version a stream began > must match snapshot 1`] = `
Array [
  Object {
    "source": "own",
    "type": "known",
    "version": "v2",
  },
  Object {
    "source": "record",
    "type": "known",
    "version": "v1",
  },
  Object {
    "source": "record",
    "type": "known",
    "version": "v2",
  },
  Object {
    "source": "base",
    "type": "known",
    "version": "v1",
  },
]
`

exports[`src/node/gateway/versions/__tests__/streamVersions.test.ts > TAP > any host knows at which version a stream began > must match snapshot 2`] = `
Object {
  "source": "record",
  "type": "known",
  "version": "v1",
}
`
