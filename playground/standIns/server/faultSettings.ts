import { z } from 'zod'

const share = z.number().min(0).max(1)
const milliseconds = z.number().min(0)

/** Fault settings of all stand-ins, the body of `POST /control/faults`; `{}` clears all faults. */
export const faultSettings = z.strictObject({
  /** Closes every connection without a response; calls take no effect. */
  outage: z.boolean(),
  /** Delays every call. */
  delayMs: milliseconds,
  /** Share of calls that take effect, but whose connection closes before the response is complete. */
  loseAnswers: share,
  /** Permanently freezes the connections that are open when the fault is set: they stay open without responses. */
  silent: z.boolean(),
  /** Number of connections to freeze permanently: open ones first, then new ones. */
  stallConnections: z.number().int().min(0),
  /** Ids of hosts whose calls get no response and take no effect (key-value service, host list). */
  cutFrom: z.array(z.string()),
  /** Age of the list that the host list serves; overrides its option. */
  lagMs: milliseconds,
  /** Factor on service times, prefill and step times. */
  slowFactor: z.number().positive(),
  /** Age of load reports; overrides the option. */
  reportLagMs: milliseconds,
  /** Share of cache events that are never published. */
  dropCacheEvents: share,
  /** Accepts orders with an outdated fencing number. */
  ignoreFencing: z.boolean(),
  /** Delay after which an order takes effect. */
  orderDelayMs: milliseconds,
  /** Reports the state `leaving` and refuses new work with 503. */
  leaving: z.boolean(),
  /** Holds a response until a later one has been sent, for at most 250 ms. */
  reorder: z.boolean(),
  /** Runs every call twice, as a service with internal retries does. */
  runTwice: z.boolean(),
  /** Share of calls that run, but get a 503 response as if they had not. */
  refuseAfterRun: share,
  /** Share of calls that get the output of the previous call. */
  crossAnswers: share,
  /** Model version that a model engine reports and serves. */
  version: z.string()
}).partial().readonly()
