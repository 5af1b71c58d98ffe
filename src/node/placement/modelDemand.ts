import { placementConstants } from './constants.js'

/** Demand by model at one host: the predicted tokens of the attempts it sent, as a rate with exponential decay. */
export class ModelDemand {
  private readonly rates = new Map<string, { perSecond: number, atMs: number }>()

  observe (model: string, tokens: number, nowMs: number): void {
    const rate = this.rates.get(model) ?? { perSecond: 0, atMs: nowMs }
    const decayed = computeRate(rate, nowMs)
    this.rates.set(model, { perSecond: decayed + tokens * 1000 / placementConstants.DEMAND_DECAY_MS, atMs: nowMs })
  }

  /** Tokens per second by model. */
  read (nowMs: number): ReadonlyMap<string, number> {
    return new Map([...this.rates].map(([model, rate]) => [model, computeRate(rate, nowMs)]))
  }
}

function computeRate (rate: { readonly perSecond: number, readonly atMs: number }, nowMs: number): number {
  return rate.perSecond * Math.exp(-(nowMs - rate.atMs) / placementConstants.DEMAND_DECAY_MS)
}
