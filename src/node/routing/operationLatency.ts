import { routingConstants } from './constants.js'
import { LatencyEstimate } from './latencyEstimate.js'

/** Predicted latency of one operation: a fixed part (up to the first token) and a part for each unit of cost. */
export class OperationLatency {
  readonly firstToken: LatencyEstimate
  readonly perCostUnit: LatencyEstimate

  constructor (readonly streaming: boolean) {
    this.firstToken = new LatencyEstimate(streaming ? routingConstants.initialFirstTokenMs : 0)
    this.perCostUnit = new LatencyEstimate(streaming ? routingConstants.initialTokenMs : routingConstants.initialCallMs)
  }

  /** Latency of the work itself at the present fill of the upstreams, queues left out. */
  computeLoadedServiceMs (cost: number): number {
    if (!this.streaming) return this.perCostUnit.getBaseMs() * cost
    return this.firstToken.getBaseMs() + this.perCostUnit.getRecentMeanMs() * cost
  }

  /** Latency at an idle upstream of usual speed. */
  computeServiceMs (cost: number): number {
    return (this.streaming ? this.firstToken.getBaseMs() : 0) + this.perCostUnit.getBaseMs() * cost
  }
}
