import type { AdmissionController } from '../../src/types/admissionController.js'
import type { SimulationContext } from './simulationContext.js'
import type { OracleRouter } from './oracleRouter.js'

/** Creates an admission controller that admits a request if it meets its objective by the actual costs and the current state of the upstreams. */
export function createOracleAdmission (context: SimulationContext, router: OracleRouter): AdmissionController {
  return {
    admit (request, nowMs) {
      const ends = new Map<string, number>()
      let lastMs = 0
      for (const stage of request.stages) {
        const truth = context.trueWorkById.get(`${request.account}/${request.requestId}/${stage.name}`)
        if (truth === undefined) continue
        const startMs = Math.max(0, ...stage.after.map(name => ends.get(name) ?? 0))
        const endMs = startMs + router.computePoolMs(stage.pool, truth, request.priority)
        ends.set(stage.name, endMs)
        lastMs = Math.max(lastMs, endMs)
      }
      const objectiveMs = context.contracts.get(request.account)?.contract.kinds[request.kind]?.objective.latencyMs ?? request.remainingMs
      if (lastMs > Math.min(objectiveMs, request.remainingMs)) return { admitted: false, reason: 'deadline_unreachable', retryAfterMs: 100 }
      const taken = context.limiter.take(request.account, nowMs)
      return taken.granted ? { admitted: true } : { admitted: false, reason: 'limit_reached', retryAfterMs: taken.retryAfterMs }
    },
    onFinished () {}
  }
}
