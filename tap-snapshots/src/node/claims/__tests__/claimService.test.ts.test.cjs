/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/node/claims/__tests__/claimService.test.ts > TAP > refuses request ids that are older than the retry window, from the future, not UUIDv7 or reused > must match snapshot 1`] = `
Array [
  Object {
    "code": "request_id_expired",
    "kind": "refused",
    "message": "the request id is older than the retry window of 10 min",
    "ran": "unknown",
  },
  Object {
    "code": "request_id_in_future",
    "kind": "refused",
    "message": "the request id lies more than 30 s in the future",
    "ran": "not_run",
  },
  Object {
    "code": "request_id_invalid",
    "kind": "refused",
    "message": "calls that run at most once need a UUIDv7 request id",
    "ran": "not_run",
  },
  Object {
    "code": "request_id_reused",
    "kind": "refused",
    "message": "the request id was used for another request",
    "ran": "not_run",
  },
]
`
