import type { StageService } from './stageService.js'
import type { StageTask } from './stageTask.js'

/** Failure domain that holds most bytes of the results; empty when their upstreams are gone. */
export function findLargestDomain (tasks: readonly StageTask[], services: ReadonlyMap<string, StageService>): string {
  const bytes = new Map<string, number>()
  for (const task of tasks) {
    for (const { upstreamId } of task.listResults()) {
      const domain = services.get(task.work.service)?.upstreams.get(upstreamId)?.failureDomain ?? ''
      bytes.set(domain, (bytes.get(domain) ?? 0) + task.work.resultBytes)
    }
  }
  return [...bytes].sort((a, b) => b[1] - a[1])[0]?.[0] ?? ''
}
