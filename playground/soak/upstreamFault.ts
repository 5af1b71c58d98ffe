/**
 * Fault of a soak test's upstream while it executes requests. `errors`: status 500. `answer-lost`: closes the connection
 * without an answer. `hang`: never answers. `torn`: closes the connection within the answer. `extra`: sends a second,
 * forged answer after its own.
 */
export type UpstreamFault = 'none' | 'errors' | 'answer-lost' | 'hang' | 'torn' | 'extra'
