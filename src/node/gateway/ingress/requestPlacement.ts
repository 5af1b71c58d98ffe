import { chooseUpstream } from '../upstreams/chooseUpstream.js'
import type { ChosenUpstream } from './chosenUpstream.js'
import type { RequestRunDependencies } from './requestRunDependencies.js'
import type { RequestRunOptions } from './requestRunOptions.js'
import type { StageOutcome } from '../stages/stageOutcome.js'
import type { UpstreamState } from '../upstreams/upstreamState.js'

/** Chooses the upstreams of one request: the engine chosen with its stages, a reserved place, or the best one now. */
export class RequestPlacement {
  /** Handles of the stage results that the request takes. */
  inputs: readonly string[] = []
  /** Failure domain that holds most bytes of these results; empty when there are none or their upstreams are gone. */
  private inputDomain = ''
  private inputBytes = 0
  private readonly triedIds = new Set<string>()
  /** Engine that was chosen together with the stages. */
  private stageEngine: Omit<ChosenUpstream, 'upstream'> & { readonly id: string } | undefined
  /** Upstream at which the request has a place within its limit, before it is sent. */
  private reservation: ChosenUpstream | undefined

  constructor (
    private readonly service: string,
    private readonly options: Pick<RequestRunOptions, 'request' | 'route'>,
    private readonly dependencies: Pick<
      RequestRunDependencies,
      'directory' | 'engines' | 'clock' | 'failureDomain' | 'random'
    >
  ) {}

  applyStageOutcome (
    outcome: StageOutcome & { readonly type: 'completed' },
    reportFirstEvent: ChosenUpstream['reportFirstEvent']
  ): void {
    const { stages } = this.options.route
    const { outputs, outputDomain, engineId, engineReadTokens, engineBacklogMs } = outcome
    this.inputs = outputs.flatMap(output => output.handles)
    this.inputDomain = outputDomain
    this.inputBytes = outputs.reduce((sum, output) => {
      return sum + output.handles.length * (stages[output.index]?.resultBytes ?? 0)
    }, 0)
    this.stageEngine = engineId === undefined
      ? undefined
      : { id: engineId, readTokens: engineReadTokens, backlogMs: engineBacklogMs ?? 0, reportFirstEvent }
  }

  /**
   * Whether the request may be sent within the limits that the upstreams have named. When only upstreams with limits
   * have room, takes a place at one of them.
   */
  admitWithinLimits (version: string | undefined): boolean {
    const { directory, clock } = this.dependencies
    if (!directory.hasLimits(this.service)) return true
    if (directory.listUsable(this.service).some(state => state.limit === undefined)) return true
    this.reservation = this.chooseUpstream(version)
    this.reservation?.upstream.limit?.share.takeToken(clock.readMonotonicMs())
    return this.reservation !== undefined
  }

  /** Chooses an upstream of a software version; undefined for any version. */
  chooseUpstream (version: string | undefined): ChosenUpstream | undefined {
    const { directory, engines, clock, failureDomain, random } = this.dependencies
    const { request, route } = this.options
    const { triedIds } = this
    const nowMs = clock.readMonotonicMs()
    if (this.reservation !== undefined && directory.isAvailable(this.reservation.upstream)) return this.reservation
    const usable = directory.listUsable(this.service, version)
    if (route.callKind === 'stream') {
      const { stageEngine } = this
      const chosen = usable.find(state => state.entry.id === stageEngine?.id && !triedIds.has(state.entry.id))
      if (chosen?.pool.hasFreeConnection() === true) return { ...stageEngine!, upstream: chosen }
      const placement = engines.placeRequest({
        service: this.service,
        prompt: { tokens: request.promptTokens, parts: request.promptParts },
        inputs: { domain: this.inputDomain, bytes: this.inputBytes },
        excludedIds: triedIds,
        version
      }, nowMs)
      return placement === undefined ? undefined : { ...placement, upstream: placement.engine }
    }
    const untried = usable.filter(state => !triedIds.has(state.entry.id))
    const upstream = chooseUpstream({ candidates: untried.length > 0 ? untried : usable, failureDomain, random, nowMs })
    return upstream === undefined ? undefined : { upstream, backlogMs: 0 }
  }

  /** Counts the request against the limit of the upstream, unless it has a place there already. */
  onSent (upstream: UpstreamState, nowMs: number): void {
    this.triedIds.add(upstream.entry.id)
    if (this.reservation?.upstream === upstream) this.reservation = undefined
    else upstream.limit?.share.takeToken(nowMs)
  }

  /** Gives back a place that was not used. */
  release (): void {
    this.reservation?.upstream.limit?.share.releaseToken()
  }
}
