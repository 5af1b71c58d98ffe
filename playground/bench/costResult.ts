/** Processor time of decisions in microseconds and state in bytes. */
export interface CostResult {
  readonly routingUs: number
  readonly attemptUs: number
  readonly admissionUs: number
  readonly bytesPerRunner: number
  readonly subsetMs: number
}
