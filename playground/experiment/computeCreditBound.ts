import type { ExperimentDeployment } from './experimentDeployment.js'
import type { SimulatedRequest } from './simulatedRequest.js'
import type { StageServiceModel } from './stageServiceModel.js'

/**
 * Window lengths for which a bound is computed; the lowest bound counts. The requests of a window compete for the
 * capacity of its time and of the longest latency target after it.
 */
const windowLengthsMs = [2000, 4000, 8000, 16_000]

/**
 * Computes an upper bound of the share of credit that any scheduler can earn. In each window, each stage service by
 * itself gives its whole capacity, in full calls and with the usual noise, to the requests that earn most credit for
 * their work; all others earn the credit of late requests. The lowest bound over the services holds for the window.
 */
export function computeCreditBound (deployment: ExperimentDeployment, requests: readonly SimulatedRequest[]): number {
  return Math.min(...windowLengthsMs.map(windowMs => computeBound(deployment, requests, windowMs)))
}

function computeBound (deployment: ExperimentDeployment, requests: readonly SimulatedRequest[], windowMs: number): number {
  const windows = new Map<number, SimulatedRequest[]>()
  for (const request of requests) {
    const window = Math.floor(request.sentAtMs / windowMs)
    windows.set(window, [...windows.get(window) ?? [], request])
  }
  const longestTargetMs = Math.max(...deployment.kinds.map(kind => kind.latencyAimMs))
  const slowdown = 1 + deployment.noise.share * (deployment.noise.factor - 1)
  let earned = 0
  for (const group of windows.values()) {
    earned += Math.min(...deployment.stageServices.map(service => computeServiceBound(service, group, (windowMs + longestTargetMs) / slowdown)))
  }
  return earned / requests.reduce((sum, { kind }) => sum + kind.worth, 0)
}

/** Computes the credit that the requests can earn when this service is the only bottleneck. */
function computeServiceBound (service: StageServiceModel, requests: readonly SimulatedRequest[], timeMs: number): number {
  const upstreams = Object.values(service.upstreams).reduce((sum, count) => sum + count, 0)
  let leftMs = upstreams * timeMs
  let earned = 0
  const demands = requests.map(request => ({ kind: request.kind, workMs: computeWorkMs(service, request) }))
  demands.sort((a, b) => a.workMs / (a.kind.worth - a.kind.lateWorth) - b.workMs / (b.kind.worth - b.kind.lateWorth))
  for (const { kind, workMs } of demands) {
    const share = workMs === 0 ? 1 : Math.min(leftMs / workMs, 1)
    leftMs -= share * workMs
    earned += share * kind.worth + (1 - share) * kind.lateWorth
  }
  return earned
}

/** Computes the time that a request takes at the upstreams of the service when all calls are full. */
function computeWorkMs ({ name, spec }: StageServiceModel, { kind, pieceCounts }: SimulatedRequest): number {
  return kind.stages.reduce((sum, stage, i) => {
    if (stage.service !== name) return sum
    return sum + pieceCounts[i]! * (spec.callMs / spec.batchSize + spec.pieceMs * stage.workFactor)
  }, 0)
}
