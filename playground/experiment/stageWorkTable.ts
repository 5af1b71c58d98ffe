import type { KindStage } from './kindStage.js'
import type { SimulatedRequest } from './simulatedRequest.js'

/** Holds the actual work and result sizes of each request's stages, which the scheduler under test does not know. */
export class StageWorkTable {
  private readonly stages = new Map<string, readonly KindStage[]>()

  addRequest ({ id, kind }: SimulatedRequest): void {
    this.stages.set(id, kind.stages)
  }

  getFactor (requestId: string, stageIndex: number): number {
    return this.stages.get(requestId)![stageIndex]!.workFactor
  }

  getResultBytes (requestId: string, stageIndex: number): number {
    return this.stages.get(requestId)![stageIndex]!.resultBytes
  }
}
