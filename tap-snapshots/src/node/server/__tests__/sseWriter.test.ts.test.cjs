/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/node/server/__tests__/sseWriter.test.ts > TAP > tokens that arrive close together are sent as one event > must match snapshot 1`] = `
event: tokens
id: 1:3
data: {"tokens":["a","b","c"]}

event: done
data: {"requestId":"r","status":"completed","tokenCount":3,"result":{}}


`
