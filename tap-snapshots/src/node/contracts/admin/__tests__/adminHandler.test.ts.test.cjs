/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/node/contracts/admin/__tests__/adminHandler.test.ts > TAP > contracts are created, read and deleted with the expected revision > must match snapshot 1`] = `
Array [
  "PUT contracts/pier",
  428,
  Object {
    "type": "json",
    "value": Object {
      "error": Object {
        "code": "precondition_required",
        "message": "send If-Match with the revision that you have seen, 0 for a new contract",
        "ran": "not_run",
      },
    },
  },
  "PUT contracts/pier x",
  400,
  Object {
    "type": "json",
    "value": Object {
      "error": Object {
        "code": "precondition_invalid",
        "message": "If-Match must be a revision number",
        "ran": "not_run",
      },
    },
  },
  "PUT contracts/quay 0",
  422,
  Object {
    "type": "json",
    "value": Object {
      "error": Object {
        "code": "contract_invalid",
        "faults": Array [
          Object {
            "message": "Too small: expected number to be >0",
            "path": "requestsPerSecond",
          },
          Object {
            "message": "differs from the account of the path",
            "path": "account",
          },
        ],
        "message": "requestsPerSecond: Too small: expected number to be >0; account: differs from the account of the path",
        "ran": "not_run",
      },
    },
  },
  "PUT contracts/pier 0",
  201,
  Object {
    "type": "json",
    "value": Object {
      "account": "pier",
      "revision": 1,
    },
  },
  "PUT contracts/quay 0",
  422,
  Object {
    "type": "json",
    "value": Object {
      "error": Object {
        "code": "contract_invalid",
        "faults": Array [
          Object {
            "message": "belongs to another account",
            "path": "tokenDigests.0",
          },
        ],
        "message": "tokenDigests.0: belongs to another account",
        "ran": "not_run",
      },
    },
  },
  "PUT contracts/pier 0",
  409,
  Object {
    "type": "json",
    "value": Object {
      "error": Object {
        "code": "revision_conflict",
        "message": "the contract of pier is at revision 1",
        "ran": "not_run",
        "revision": 1,
      },
    },
  },
  "GET contracts",
  200,
  Object {
    "type": "json",
    "value": Object {
      "confirmed": true,
      "contracts": Array [
        Object {
          "account": "pier",
          "atMs": 0,
          "contract": Object {
            "account": "pier",
            "kinds": Object {
              "issue": Object {
                "deadlineMs": 1000,
                "idempotent": false,
                "objective": Object {
                  "attainment": 0.99,
                  "latencyMs": 500,
                },
                "priority": 5,
                "stages": Array [
                  Object {
                    "after": Array [],
                    "name": "issue",
                    "operation": "call",
                    "pool": "bell-control",
                    "serviceOperation": "issue",
                  },
                ],
              },
            },
            "requestsPerSecond": 5,
            "tokenDigests": Array [
              "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
            ],
            "tokensPerSecond": 0,
          },
          "operator": "ivana",
          "revision": 1,
          "token": 0,
        },
      ],
    },
  },
  "GET contracts/pier",
  200,
  Object {
    "type": "json",
    "value": Object {
      "account": "pier",
      "atMs": 0,
      "confirmed": true,
      "contract": Object {
        "account": "pier",
        "kinds": Object {
          "issue": Object {
            "deadlineMs": 1000,
            "idempotent": false,
            "objective": Object {
              "attainment": 0.99,
              "latencyMs": 500,
            },
            "priority": 5,
            "stages": Array [
              Object {
                "after": Array [],
                "name": "issue",
                "operation": "call",
                "pool": "bell-control",
                "serviceOperation": "issue",
              },
            ],
          },
        },
        "requestsPerSecond": 5,
        "tokenDigests": Array [
          "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
        ],
        "tokensPerSecond": 0,
      },
      "operator": "ivana",
      "revision": 1,
      "token": 0,
    },
  },
  "DELETE contracts/pier \\"1\\"",
  200,
  Object {
    "type": "json",
    "value": Object {
      "account": "pier",
      "deleted": true,
      "revision": 2,
    },
  },
  "GET contracts/pier",
  404,
  Object {
    "type": "json",
    "value": Object {
      "error": Object {
        "code": "contract_not_found",
        "message": "there is no contract of pier; it was deleted by revision 2",
        "ran": "not_run",
      },
    },
  },
  "DELETE contracts/pier 2",
  404,
  Object {
    "type": "json",
    "value": Object {
      "error": Object {
        "code": "contract_not_found",
        "message": "there is no contract of pier; it was deleted by revision 2",
        "ran": "not_run",
      },
    },
  },
  "GET contracts/pier/history",
  200,
  Object {
    "type": "json",
    "value": Object {
      "account": "pier",
      "revisions": Array [
        Object {
          "account": "pier",
          "atMs": 0,
          "contract": Object {
            "account": "pier",
            "kinds": Object {
              "issue": Object {
                "deadlineMs": 1000,
                "idempotent": false,
                "objective": Object {
                  "attainment": 0.99,
                  "latencyMs": 500,
                },
                "priority": 5,
                "stages": Array [
                  Object {
                    "after": Array [],
                    "name": "issue",
                    "operation": "call",
                    "pool": "bell-control",
                    "serviceOperation": "issue",
                  },
                ],
              },
            },
            "requestsPerSecond": 5,
            "tokenDigests": Array [
              "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
            ],
            "tokensPerSecond": 0,
          },
          "operator": "ivana",
          "revision": 1,
          "token": 0,
        },
        Object {
          "account": "pier",
          "atMs": 0,
          "contract": null,
          "operator": "ivana",
          "revision": 2,
          "token": 0,
        },
      ],
    },
  },
]
`
