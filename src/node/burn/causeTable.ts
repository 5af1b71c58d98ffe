import { burnConstants } from './constants.js'
import { CauseSlices } from './causeSlices.js'
import type { BurnCauses } from './burnCauses.js'
import type { RequestSample } from '../../types/requestSample.js'

/** Causes of the missed requests of one account and kind. */
export class CauseTable {
  private readonly codes = new CauseSlices()
  private readonly stages = new CauseSlices()
  private readonly upstreams = new CauseSlices()

  observe (sample: RequestSample): void {
    this.codes.observe(sample.code ?? burnConstants.lateCode, sample.atMs)
    if (sample.slowestStage !== undefined) this.stages.observe(sample.slowestStage, sample.atMs)
    if (sample.slowestUpstream !== undefined) this.upstreams.observe(sample.slowestUpstream, sample.atMs)
  }

  list (nowMs: number): BurnCauses {
    return { codes: this.codes.list(nowMs), stages: this.stages.list(nowMs), upstreams: this.upstreams.list(nowMs) }
  }
}
