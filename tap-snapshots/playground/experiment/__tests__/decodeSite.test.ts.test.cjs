/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`playground/experiment/__tests__/decodeSite.test.ts > TAP > decodes a site file with its share of upstreams and requests, and lists the events that are not simulated > must match snapshot 1`] = `
{
 "name": "harbour",
 "hosts": 5,
 "linkMs": {
  "betweenDomains": 1.5,
  "toClients": 3
 },
 "stageServices": [
  {
   "name": "archive",
   "upstreams": {
    "a": 2
   },
   "spec": {
    "concurrentCalls": 1,
    "batchSize": 10,
    "callMs": 200,
    "pieceMs": 10,
    "resultRoomBytes": 2000000,
    "resultLifetimeMs": 4000
   }
  }
 ],
 "engines": {
  "name": "engines",
  "upstreams": {
   "a": 2,
   "b": 1
  },
  "slots": 8,
  "prefillTokensPerMs": 50,
  "firstEventMs": 10,
  "stepMs": 3,
  "stepMsPerRequest": 0.1,
  "tokensPerEvent": 5,
  "cacheTokens": 1000
 },
 "noise": {
  "share": 0,
  "factor": 1,
  "everyMs": 1000
 },
 "kinds": [
  {
   "name": "digest",
   "latencyAimMs": 2000,
   "timeoutMs": 9000,
   "worth": 4,
   "lateWorth": 0.5,
   "priority": 1,
   "retries": 1,
   "stages": [
    {
     "service": "archive",
     "after": [],
     "resultBytes": 800,
     "share": 1,
     "pieces": {
      "mean": 1,
      "spread": 0,
      "max": 1
     },
     "workFactor": 1
    }
   ],
   "sharedParts": [],
   "ownTokens": {
    "mean": 100,
    "spread": 0,
    "max": 9007199254740991
   },
   "events": {
    "mean": 5,
    "spread": 0,
    "max": 9007199254740991
   }
  }
 ],
 "days": [
  {
   "name": "calm",
   "lengthMs": 10000,
   "traffic": [
    {
     "failureDomain": "a",
     "requestsPerSecond": 5,
     "mix": {
      "digest": 1
     },
     "wave": {
      "swing": 0,
      "periodMs": 1000,
      "phase": 0
     },
     "clump": 2
    }
   ],
   "bursts": [
    {
     "atMs": 2000,
     "forMs": 3000,
     "factor": 2,
     "kind": "digest"
    }
   ],
   "troubles": [
    {
     "atMs": 3000,
     "forMs": 2000,
     "service": "archive",
     "share": 0.5,
     "slowdown": "Infinity"
    }
   ],
   "notPlayed": [
    "release",
    "srv_slow"
   ]
  }
 ]
}
`
