import { routingConstants } from './constants.js'
import { LatencyEstimate } from './latencyEstimate.js'

/** Predicts the latency of one operation: the time to the first token plus a time for each unit of cost. */
export class OperationLatency {
  readonly firstToken: LatencyEstimate
  readonly perCostUnit: LatencyEstimate

  constructor (readonly streaming: boolean) {
    this.firstToken = new LatencyEstimate(streaming ? routingConstants.initialFirstTokenMs : 0)
    this.perCostUnit = new LatencyEstimate(streaming ? routingConstants.initialTokenMs : routingConstants.initialCallMs)
  }

  /** Service time under the present load of the upstreams, without queueing. */
  computeLoadedServiceMs (cost: number): number {
    if (!this.streaming) return this.perCostUnit.getBaseMs() * cost
    return this.firstToken.getBaseMs() + this.perCostUnit.getRecentMeanMs() * cost
  }

  /** Service time at an idle upstream of usual speed. */
  computeServiceMs (cost: number): number {
    return (this.streaming ? this.firstToken.getBaseMs() : 0) + this.perCostUnit.getBaseMs() * cost
  }
}
