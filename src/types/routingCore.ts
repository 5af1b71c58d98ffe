import type { StageEstimator } from './stageEstimator.js'
import type { StageRouter } from './stageRouter.js'

/** A stage router that also estimates stage times from the same observations. */
export interface RoutingCore extends StageRouter, StageEstimator {}
