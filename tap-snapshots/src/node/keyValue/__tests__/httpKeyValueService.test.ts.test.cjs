/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/node/keyValue/__tests__/httpKeyValueService.test.ts > TAP > maps HTTP responses to results > must match snapshot 1`] = `
Array [
  "GET /kv/a/b host-1",
  "GET /kv/a/none host-1",
  "PUT /kv/a/b host-1",
]
`
