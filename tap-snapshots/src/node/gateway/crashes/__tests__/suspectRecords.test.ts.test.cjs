/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/node/gateway/crashes/__tests__/suspectRecords.test.ts > TAP > a part that ends upstreams is refused, and the sound parts of the same prompts are not > refusals 1`] = `
1 crashes: accused bad; "admitted"
2 crashes: accused bad; {"kind":"part","id":"bad","crashCount":2,"trialInMs":1000}
3 crashes: accused bad; {"kind":"part","id":"bad","crashCount":3,"trialInMs":10000}
4 crashes: accused bad; {"kind":"part","id":"bad","crashCount":4,"trialInMs":60000}
5 crashes: accused bad; {"kind":"part","id":"bad","crashCount":5,"trialInMs":360000}
6 crashes: accused bad; {"kind":"part","id":"bad","crashCount":6,"trialInMs":2160000}
`
