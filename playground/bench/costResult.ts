/** CPU time of decisions, and memory of the router for each runner. */
export interface CostResult {
  readonly routingUs: number
  readonly attemptUs: number
  readonly admissionUs: number
  readonly bytesPerRunner: number
  readonly subsetMs: number
}
