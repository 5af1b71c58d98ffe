/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/node/gateway/stages/__tests__/schedulingCells.test.ts > TAP > cells have enough upstreams of every service: calls of a smaller cell would be nearly empty > must match snapshot 1`] = `
Array [
  Array [
    Array [
      "quay-a",
      "quay-b",
      "quay-c",
      "quay-d",
    ],
  ],
  Array [
    Array [
      "quay-a",
      "quay-b",
      "quay-c",
    ],
  ],
  Array [
    Array [
      "quay-a",
      "quay-b",
    ],
    Array [
      "quay-c",
      "quay-d",
    ],
  ],
  Array [
    Array [
      "quay-a",
    ],
    Array [
      "quay-b",
    ],
    Array [
      "quay-c",
    ],
    Array [
      "quay-d",
    ],
    Array [
      "quay-e",
    ],
    Array [
      "quay-f",
    ],
  ],
  Array [
    Array [
      "quay-a",
    ],
    Array [
      "quay-b",
    ],
    Array [
      "quay-c",
    ],
    Array [
      "quay-d",
    ],
    Array [
      "quay-e",
    ],
    Array [
      "quay-f",
    ],
  ],
]
`
