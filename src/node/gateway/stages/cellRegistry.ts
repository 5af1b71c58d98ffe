import { buildSchedulingCells } from './buildSchedulingCells.js'
import { listRankedCells } from './listRankedCells.js'
import type { EnginePlanner } from '../engines/enginePlanner.js'
import type { SchedulingCell } from './schedulingCell.js'
import type { ServiceSpec } from '../model/serviceSpec.js'
import type { StageDispatcher } from './stageDispatcher.js'
import type { StageScheduler } from './stageScheduler.js'
import type { UpstreamEntry } from '../model/upstreamEntry.js'
import type { UpstreamState } from '../upstreams/upstreamState.js'

/** What schedules the stage work of one cell, at the host that schedules it. */
interface CellRuntime {
  readonly domains: ReadonlySet<string>
  readonly scheduler: StageScheduler
  readonly dispatcher: StageDispatcher
  readonly engines: EnginePlanner
}

type CellDomains = ReadonlySet<string> | readonly string[]

/** The scheduling cells, and the schedulers of the cells for which this host was sent work. */
export class CellRegistry {
  private readonly runtimes = new Map<string, CellRuntime>()
  private cells: readonly SchedulingCell[] = [{ domains: [], shares: new Map() }]
  private specs: ReadonlyMap<string, ServiceSpec> = new Map()
  private upstreamsByService: ReadonlyMap<string, readonly UpstreamEntry[]> = new Map()
  /** Engines by the usable ones that they are part of, and by the domains of their cell. */
  private enginesByUsable = new WeakMap<readonly UpstreamState[], WeakMap<CellDomains, readonly UpstreamState[]>>()
  private isEvacuated: (domain: string) => boolean = () => false

  constructor (private readonly createRuntime: (domains: ReadonlySet<string>) => Omit<CellRuntime, 'domains'>) {}

  /** Applies the services of a configuration and the upstreams that serve them. Evacuated domains belong to no cell. */
  applyUpstreams (
    specs: ReadonlyMap<string, ServiceSpec>,
    listUpstreams: (service: string) => readonly UpstreamEntry[],
    isEvacuated = (_domain: string): boolean => false
  ): void {
    this.specs = specs
    this.isEvacuated = isEvacuated
    // Plain services are called by all hosts and do not count for the cells.
    const cellServices = [...specs.values()].filter(spec => spec.stage !== undefined || spec.engine !== undefined)
    this.upstreamsByService = new Map(cellServices.map(({ name }) => [name, listUpstreams(name)]))
    const stageServices = new Set([...specs.values()].filter(spec => spec.stage !== undefined).map(spec => spec.name))
    const open = [...this.upstreamsByService].map(([service, entries]) => {
      return [service, entries.filter(entry => !isEvacuated(entry.failureDomain))] as const
    })
    const cells = buildSchedulingCells(new Map(open), stageServices)
    this.cells = cells.length > 0 ? cells : [{ domains: [], shares: new Map() }]
    this.enginesByUsable = new WeakMap()
    for (const runtime of this.runtimes.values()) this.updateRuntime(runtime)
  }

  /** Cells for a request of the session `key` that needs these services, the preferred one first; never empty. */
  listRankedCells (key: string, services: readonly string[]): readonly SchedulingCell[] {
    return listRankedCells(this.cells, key, services)
  }

  /** Whether an engine of this failure domain takes requests of a cell: it is in the cell, or outside all cells. */
  isEngineOf (cellDomains: CellDomains, engineDomain: string): boolean {
    return [...cellDomains].includes(engineDomain) || !this.cells.some(cell => cell.domains.includes(engineDomain))
  }

  /**
   * Engines for the requests of a cell: those of its domains, which have read the prompts of its sessions, or all when
   * it has none. The same list is returned for the same usable engines until the cells change.
   */
  listEngines (cellDomains: CellDomains, usable: readonly UpstreamState[]): readonly UpstreamState[] {
    const byDomains = this.enginesByUsable.get(usable) ?? new WeakMap<CellDomains, readonly UpstreamState[]>()
    this.enginesByUsable.set(usable, byDomains)
    const known = byDomains.get(cellDomains)
    if (known !== undefined) return known
    const local = usable.filter(({ entry }) => this.isEngineOf(cellDomains, entry.failureDomain))
    const engines = local.length > 0 ? local : usable
    byDomains.set(cellDomains, engines)
    return engines
  }

  /** Dispatcher of the cell of these domains. Hosts may disagree on the cells for a moment, so any set of domains is served. */
  getDispatcher (domains: readonly string[]): StageDispatcher {
    const id = domains.join('\n')
    const known = this.runtimes.get(id)
    if (known !== undefined) return known.dispatcher
    const domainSet = new Set(domains)
    const runtime = { domains: domainSet, ...this.createRuntime(domainSet) }
    this.runtimes.set(id, runtime)
    this.updateRuntime(runtime)
    return runtime.dispatcher
  }

  /** Releases the results of a completed job, whichever cell it ran in. */
  releaseJob (jobId: string): void {
    for (const { dispatcher } of this.runtimes.values()) dispatcher.releaseJob(jobId)
  }

  /** The links from this host to all upstreams were cut, or work again. */
  applyLinkChange (): void {
    for (const { scheduler, dispatcher } of this.runtimes.values()) {
      scheduler.applyLinkChange()
      dispatcher.onUpstreamsChanged()
    }
  }

  /** Forgets an engine that is gone. */
  removeEngine (engineId: string): void {
    for (const { engines } of this.runtimes.values()) engines.removeEngine(engineId)
  }

  stop (): void {
    for (const { dispatcher } of this.runtimes.values()) dispatcher.stop()
  }

  private updateRuntime ({ domains, scheduler, dispatcher }: CellRuntime): void {
    scheduler.applyUpstreams(this.specs, service => this.listCellUpstreams(service, domains))
    dispatcher.onUpstreamsChanged()
  }

  /**
   * Upstreams of a service for the scheduler of a cell. Those of evacuated domains count as draining, because their
   * calls run to completion. A cell that has no others completes its accepted jobs with the upstreams of other cells.
   */
  private listCellUpstreams (service: string, domains: ReadonlySet<string>): readonly UpstreamEntry[] {
    const entries = this.upstreamsByService.get(service) ?? []
    const ofCell = entries.filter(entry => domains.has(entry.failureDomain))
    const isLost = ofCell.length > 0 && ofCell.every(entry => this.isEvacuated(entry.failureDomain))
    return (isLost ? entries : ofCell).map(entry => {
      return this.isEvacuated(entry.failureDomain) ? { ...entry, isDraining: true } : entry
    })
  }
}
