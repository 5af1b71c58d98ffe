import { FixedStageRouter } from '../fakes/fixedStageRouter.js'
import type { StageWork } from '../../src/types/stageWork.js'
import type { UpstreamChoice } from '../../src/types/upstreamChoice.js'

/** Stage router of the relay benchmark: eight runners in turn, so that only the relay is measured. */
export class RotatingStageRouter extends FixedStageRouter {
  private nextIndex = 0

  override route (_work: StageWork): UpstreamChoice | undefined {
    return { upstreamId: `runner-${this.nextIndex++ % 8}`, predictedMs: 10 }
  }
}
