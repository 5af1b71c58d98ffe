/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/node/cli/__tests__/contractCommands.test.ts > TAP > diff, read, list, history and status print the contracts of the server > must match snapshot 1`] = `
$ contract diff pier.json
pier: 3 differences from revision 7
  ~ requestsPerSecond: 5 -> 6
  ~ kinds.signal-query.deadlineMs: 2000 -> 1500
  + kinds.status-read: {}
$ contract read pier
{
  "account": "pier",
  "tokenDigests": [
    "aa"
  ],
  "requestsPerSecond": 5,
  "tokensPerSecond": 900,
  "kinds": {
    "signal-query": {
      "deadlineMs": 2000,
      "priority": 5,
      "stages": [
        {
          "name": "encode",
          "pool": "encoders",
          "after": []
        },
        {
          "name": "answer",
          "pool": "runners",
          "after": [
            "encode"
          ]
        }
      ]
    }
  }
}
$ contract list
account  revision  requests/s  tokens/s  kinds
pier            7           5       900  signal-query
$ contract history pier
2023-11-14T22:13:20.001Z  pier  revision 1  changed by dana
  + account: "pier"
  + tokenDigests: ["aa"]
  + requestsPerSecond: 5
  + tokensPerSecond: 900
  + kinds.signal-query.deadlineMs: 2000
  + kinds.signal-query.priority: 5
  + kinds.signal-query.stages[encode].pool: "encoders"
  + kinds.signal-query.stages[encode].after: []
  + kinds.signal-query.stages[answer].pool: "runners"
  + kinds.signal-query.stages[answer].after: ["encode"]
2023-11-14T22:13:20.002Z  pier  revision 2  changed by dana
  ~ requestsPerSecond: 5 -> 6
  ~ kinds.signal-query.deadlineMs: 2000 -> 1500
  + kinds.status-read: {}
2023-11-14T22:13:20.003Z  pier  revision 3  deleted by dana
  - account: "pier"
  - tokenDigests: ["aa"]
  - requestsPerSecond: 6
  - tokensPerSecond: 900
  - kinds.signal-query.deadlineMs: 1500
  - kinds.signal-query.priority: 5
  - kinds.signal-query.stages[answer].pool: "runners"
  - kinds.signal-query.stages[answer].after: ["encode"]
  - kinds.signal-query.stages[encode].pool: "encoders"
  - kinds.signal-query.stages[encode].after: []
  - kinds.status-read: {}
$ contract status pier
pier: revision 7 in force on 1 of 2 hosts
hostId  revision
host-1         7
host-2         6
`
