/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/node/gateway/store/__tests__/storeWatcher.test.ts > TAP > one watch follows all sections, and keys of no section are ignored > must match snapshot 1`] = `
hosts/ snapshot: hosts/a
servers/ snapshot: servers/b
servers/ written servers/d
hosts/ removed hosts/a
`
