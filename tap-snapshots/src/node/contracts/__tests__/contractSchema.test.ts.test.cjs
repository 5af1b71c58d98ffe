/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/node/contracts/__tests__/contractSchema.test.ts > TAP > all faults of a contract are reported at once with their paths > must match snapshot 1`] = `
Array [
  Object {
    "message": "must be 1 to 64 letters, digits, dots, dashes or underscores",
    "path": "account",
  },
  Object {
    "message": "Too small: expected number to be >0",
    "path": "requestsPerSecond",
  },
  Object {
    "message": "Invalid option: expected one of \\"encode\\"|\\"retrieve\\"|\\"rerank\\"|\\"generate\\"|\\"call\\"",
    "path": "kinds.query.stages.1.operation",
  },
  Object {
    "message": "Too big: expected number to be <=9",
    "path": "kinds.query.priority",
  },
  Object {
    "message": "Unrecognized key: \\"extra\\"",
    "path": "",
  },
  Object {
    "message": "is longer than the deadline",
    "path": "kinds.query.objective.latencyMs",
  },
  Object {
    "message": "only a kind of one call may be not idempotent",
    "path": "kinds.query.idempotent",
  },
  Object {
    "message": "stage a is part of a cycle",
    "path": "kinds.query.stages.0.after",
  },
  Object {
    "message": "stage b is part of a cycle",
    "path": "kinds.query.stages.1.after",
  },
  Object {
    "message": "no stage is named nowhere",
    "path": "kinds.query.stages.2.after.1",
  },
  Object {
    "message": "operation generate needs model",
    "path": "kinds.query.stages.2.model",
  },
  Object {
    "message": "operation generate needs maxTokens",
    "path": "kinds.query.stages.2.maxTokens",
  },
  Object {
    "message": "stage c is part of a cycle",
    "path": "kinds.query.stages.2.after",
  },
  Object {
    "message": "only operation generate takes model",
    "path": "kinds.query.stages.3.model",
  },
]
`
