/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/node/gateway/answers/__tests__/answerMemory.test.ts > TAP > the memory for answers follows that of the machine and has room for one answer > must match snapshot 1`] = `
Array [
  Object {
    "answerBytes": 10485760,
    "megabytes": 160,
  },
  Object {
    "answerBytes": 16777216,
    "megabytes": 256,
  },
  Object {
    "answerBytes": 22937600,
    "megabytes": 350,
  },
  Object {
    "answerBytes": 57016320,
    "megabytes": 870,
  },
]
`
