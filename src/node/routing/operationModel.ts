import { routingConstants } from './constants.js'
import { LatencyModel } from './latencyModel.js'

/** Predicted latency of one operation: a fixed part (up to the first token) and a part for each unit of cost. */
export class OperationModel {
  readonly first: LatencyModel
  readonly perCost: LatencyModel

  constructor (readonly streaming: boolean) {
    this.first = new LatencyModel(streaming ? routingConstants.initialFirstTokenMs : 0)
    this.perCost = new LatencyModel(streaming ? routingConstants.initialTokenMs : routingConstants.initialCallMs)
  }

  /** Latency of the work itself at the present fill of the upstreams, queues left out. */
  computeLoadedMs (cost: number): number {
    if (!this.streaming) return this.perCost.getBaseMs() * cost
    return this.first.getBaseMs() + this.perCost.getRecentMs() * cost
  }

  /** Latency at an idle upstream of usual speed. */
  computeServiceMs (cost: number): number {
    return (this.streaming ? this.first.getBaseMs() : 0) + this.perCost.getBaseMs() * cost
  }
}
