import { CellRegistry } from '../gateway/stages/cellRegistry.js'
import { EngineCapacities } from '../gateway/capacity/engineCapacities.js'
import { EnginePlanner } from '../gateway/engines/enginePlanner.js'
import { findSharedPartId } from '../gateway/engines/findSharedPartId.js'
import { PlacedRequests } from '../gateway/capacity/placedRequests.js'
import { RecentAnswers } from '../gateway/stages/recentAnswers.js'
import { stageCallCodec } from '../platform/stageCallCodec.js'
import { StageClient } from '../gateway/stages/stageClient.js'
import { StageDispatcher } from '../gateway/stages/stageDispatcher.js'
import { StageOrderServer } from '../gateway/stages/stageOrderServer.js'
import { StageScheduler } from '../gateway/stages/stageScheduler.js'
import { systemScheduler } from '../../shared/systemScheduler.js'
import type { GatewayComponents } from './gatewayComponents.js'
import type { GatewayContext } from './gatewayContext.js'
import type { PeerSessions } from '../../types/peerSessions.js'
import type { UpstreamState } from '../gateway/upstreams/upstreamState.js'

interface StagesOptions extends Pick<GatewayComponents, 'hosts' | 'upstreams'> {
  readonly sessions: PeerSessions
}

interface Stages extends Pick<GatewayComponents, 'cells' | 'stages'> {
  /** What requests of this host's clients show of the engines, also for planners of cells that this host schedules. */
  readonly capacities: EngineCapacities
  /** Places requests without stages on engines of the cell that has the stages of the same session. */
  readonly directEngines: EnginePlanner
}

/** Creates the scheduling of stages and the planners that choose engines, and starts to serve stage orders of hosts. */
export function createStages (context: GatewayContext, { hosts, upstreams, sessions }: StagesOptions): Stages {
  const { clock, logger, metrics } = context
  /** Engines for the requests of a cell: those of its domains have read the prompts of its sessions. */
  const listCellEngines = (
    service: string,
    domains: ReadonlySet<string> | readonly string[],
    version: string | undefined
  ): readonly UpstreamState[] => {
    return cells.listEngines(domains, upstreams.listUsable(service, version))
  }
  const capacities = new EngineCapacities()
  const directEngines = new EnginePlanner((service, prompt, version) => {
    const session = findSharedPartId(prompt.parts)
    if (session === undefined) return upstreams.listUsable(service, version)
    return listCellEngines(service, cells.listRankedCells(session, [service])[0]!.domains, version)
  }, capacities)
  const recentAnswers = new RecentAnswers()
  const cells: CellRegistry = new CellRegistry(domains => {
    const scheduler = new StageScheduler()
    const engines = new EnginePlanner((service, _prompt, version) => {
      return listCellEngines(service, domains, version)
    }, capacities)
    const dispatcher = new StageDispatcher({
      scheduler,
      findPool: upstreamId => upstreams.find(upstreamId)?.pool,
      findDemands: upstreamId => upstreams.findDemands(upstreamId),
      engines,
      codec: stageCallCodec,
      recentAnswers,
      clock,
      timers: systemScheduler,
      logger,
      metrics
    })
    return { scheduler, dispatcher, engines }
  })
  const stages = new StageClient({ cells, hosts, sessions, clock, logger, metrics })
  new StageOrderServer({ cells, placedRequests: new PlacedRequests(capacities), sessions, clock, logger }).start()
  return { cells, stages, capacities, directEngines }
}
