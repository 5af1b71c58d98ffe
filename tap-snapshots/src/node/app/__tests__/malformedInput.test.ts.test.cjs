/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/node/app/__tests__/malformedInput.test.ts > TAP > an unexpected error is logged and the process goes on, unless errors keep coming > must match snapshot 1`] = `
Array [
  "unexpected error {\\"reason\\":\\"a rejected value\\",\\"outcome\\":\\"the process goes on\\"}",
  "unexpected error {\\"reason\\":\\"too many\\",\\"outcome\\":\\"the process ends with status 70\\"}",
]
`
