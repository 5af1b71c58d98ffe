import type { Random } from '../../src/types/random.js'
import type { BenchHost } from './benchHost.js'
import type { EventQueue } from './eventQueue.js'
import type { Scenario } from './scenario.js'
import type { UpstreamModel } from './upstreamModel.js'

const reportIntervalMs = 250
const tokenIntervalMs = 50
const deferredIntervalMs = 25

interface UpstreamFeeds {
  sendCacheEvent (upstreamId: string, type: 'stored' | 'evicted', prefixHash: string): void
  start (models: ReadonlyMap<string, UpstreamModel>, untilMs: number): void
}

/**
 * Creates the feeds from upstreams to hosts: load reports with a lag, cache events with a lag and with gaps, and the
 * tokens of streams. It also makes hosts retry deferred work periodically.
 */
export function createUpstreamFeeds (options: { readonly scenario: Scenario, readonly queue: EventQueue, readonly random: Random, readonly hosts: readonly BenchHost[] }): UpstreamFeeds {
  const { scenario, queue, random, hosts } = options
  const gaps = new Set<string>()

  function schedulePeriodic (intervalMs: number, untilMs: number, run: () => void): void {
    queue.schedule(queue.nowMs + intervalMs, () => {
      run()
      if (queue.nowMs < untilMs) schedulePeriodic(intervalMs, untilMs, run)
    })
  }

  function sendReports (models: ReadonlyMap<string, UpstreamModel>): void {
    for (const model of models.values()) {
      if (!model.pool.reportsLoad || model.lost) continue
      const report = { upstreamId: model.id, running: model.running.length, waiting: model.waiting.length, slots: model.pool.slots, kvUsed: model.running.length / model.pool.slots, atMs: queue.nowMs }
      queue.schedule(queue.nowMs + scenario.reportLagMs, () => { for (const host of hosts) host.policy.router.onLoadReport(report, queue.nowMs) })
    }
  }

  return {
    sendCacheEvent (upstreamId, type, prefixHash) {
      if (random() < scenario.cacheLoss) {
        gaps.add(upstreamId)
        return
      }
      const gap = gaps.delete(upstreamId)
      queue.schedule(queue.nowMs + scenario.cacheLagMs, () => {
        for (const host of hosts) {
          if (gap) host.policy.router.onCacheEvent(upstreamId, 'gap', prefixHash, queue.nowMs)
          host.policy.router.onCacheEvent(upstreamId, type, prefixHash, queue.nowMs)
        }
      })
    },
    start (models, untilMs) {
      schedulePeriodic(reportIntervalMs, untilMs, () => sendReports(models))
      schedulePeriodic(tokenIntervalMs, untilMs, () => { for (const model of models.values()) if (model.pool.name === 'runners') model.reportTokens() })
      schedulePeriodic(deferredIntervalMs, untilMs, () => { for (const host of hosts) host.sendDeferred() })
    }
  }
}
