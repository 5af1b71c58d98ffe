import { createAdmissionController } from '../../src/node/admission/createAdmissionController.js'
import { createStageRouter } from '../../src/node/routing/createStageRouter.js'
import type { AdmissionController } from '../../src/types/admissionController.js'
import type { SimulationContext } from './simulationContext.js'
import { createOracleAdmission } from './createOracleAdmission.js'
import type { HostPolicy } from './hostPolicy.js'
import { LeastOutstandingRouter } from './leastOutstandingRouter.js'
import { OracleRouter } from './oracleRouter.js'
import type { PolicyName } from './policyName.js'
import { RoundRobinRouter } from './roundRobinRouter.js'

/** Creates the routing and admission of one entry host. The baselines enforce the contracts' limits and admit all other requests. */
export function createHostPolicy (name: PolicyName, context: SimulationContext, countHosts: () => number): HostPolicy {
  if (name === 'lycheetrack') {
    const router = createStageRouter({ random: context.random, countHosts })
    return { router, admission: createAdmissionController({ limiter: context.limiter, estimator: router, contracts: { find: account => context.contracts.get(account) } }), usesPriority: true }
  }
  if (name === 'oracle') {
    const router = new OracleRouter(context)
    return { router, admission: createOracleAdmission(context, router), usesPriority: true }
  }
  const admission = createLimitAdmission(context)
  if (name === 'round-robin') return { router: new RoundRobinRouter(context.random), admission, usesPriority: true }
  if (name === 'least-outstanding') return { router: new LeastOutstandingRouter(context.random, () => Number.POSITIVE_INFINITY), admission, usesPriority: true }
  const computeShare = (pool: string) => Math.ceil((context.deployment.pools.find(spec => spec.name === pool)?.slots ?? 1) / countHosts())
  return { router: new LeastOutstandingRouter(context.random, computeShare), admission, usesPriority: false }
}

function createLimitAdmission (context: SimulationContext): AdmissionController {
  return {
    admit (request, nowMs) {
      const taken = context.limiter.take(request.account, nowMs)
      return taken.granted ? { admitted: true } : { admitted: false, reason: 'limit_reached', retryAfterMs: taken.retryAfterMs }
    },
    onFinished () {}
  }
}
