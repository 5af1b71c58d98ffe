import type { StageEstimator } from './stageEstimator.js'
import type { StageRouter } from './stageRouter.js'

/** The stage router together with the estimates that it derives from the same observations. */
export interface RoutingCore extends StageRouter, StageEstimator {}
