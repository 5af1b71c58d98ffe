import { z } from 'zod'

const share = z.number().min(0).max(1)
const milliseconds = z.number().min(0)

/** Fault settings of all stand-ins, as `POST /control/faults` takes them; `{}` clears all. */
export const faultSettings = z.strictObject({
  /** Closes every connection without an answer; nothing takes effect. */
  outage: z.boolean(),
  /** Delays every call. */
  delayMs: milliseconds,
  /** Share of work that takes effect while its connection closes without a whole answer. */
  loseAnswers: share,
  /** Connections that are open when the fault is set go silent for good. */
  silent: z.boolean(),
  /** Number of connections that stall for good: open ones first, then new ones. */
  stallConnections: z.number().int().min(0),
  /** Ids of hosts whose calls get no answer and take no effect (key-value service, host list). */
  cutFrom: z.array(z.string()),
  /** Age of the list that the host list serves. */
  lagMs: milliseconds,
  /** Multiplies service and step times. */
  slowFactor: z.number().positive(),
  /** Age of load reports. */
  reportLagMs: milliseconds,
  /** Share of cache events that are never published. */
  dropCacheEvents: share,
  ignoreFencing: z.boolean(),
  /** Delay after which an order takes effect. */
  orderDelayMs: milliseconds,
  leaving: z.boolean(),
  /** Holds an answer until a later one was sent, at most 250 ms. */
  reorder: z.boolean(),
  /** Runs every call a second time, as a service with retries of its own does. */
  runTwice: z.boolean(),
  /** Share of calls that run and are then answered 503 as if they had not. */
  refuseAfterRun: share,
  /** Share of calls that are answered with the output of the call before. */
  crossAnswers: share,
  /** Version that a model engine reports and serves. */
  version: z.string()
}).partial().readonly()
