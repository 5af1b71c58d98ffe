/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/node/gateway/ingress/__tests__/decideNextAttempt.test.ts > TAP > a request that may have run is sent again only when it is repeatable > must match snapshot 1`] = `
signed success: repeatable deliver, once deliver, last attempt deliver, no budget deliver, no time deliver
unsigned success: repeatable send-again, once fail, last attempt fail, no budget fail, no time fail
upstream 400: repeatable deliver, once deliver, last attempt deliver, no budget deliver, no time deliver
upstream 500: repeatable send-again, once deliver, last attempt deliver, no budget deliver, no time deliver
upstream 503 without a statement: repeatable send-again, once fail, last attempt fail, no budget fail, no time fail
upstream 504: repeatable send-again, once deliver, last attempt deliver, no budget deliver, no time deliver
refused by the upstream: repeatable send-again, once send-again, last attempt refuse, no budget refuse, no time refuse
no connection: repeatable send-again, once send-again, last attempt send-again, no budget send-again, no time refuse
inputs gone: repeatable run-stages-again, once run-stages-again, last attempt run-stages-again, no budget run-stages-again, no time refuse
uncertain: repeatable send-again, once fail, last attempt fail, no budget fail, no time fail
streamed: repeatable finish, once finish, last attempt finish, no budget finish, no time finish
cancelled: repeatable finish, once finish, last attempt finish, no budget finish, no time finish
`
