import { LycheetrackError } from '../../shared/lycheetrackError.js'
import type { HostList } from '../../types/hostList.js'
import type { Logger } from '../../types/logger.js'
import type { Upstream } from '../../types/upstream.js'

interface HostListPollerOptions {
  readonly hostList: HostList
  readonly logger: Logger
  readonly intervalMs: number
  /** Called with all upstreams in the list after each successful read. */
  readonly onUpstreams: (upstreams: readonly Upstream[]) => void
}

/** Polls the platform's host list for upstreams. While the list is unavailable, the last one read stays in use. */
export class HostListPoller {
  private timer: NodeJS.Timeout | undefined
  private isStopped = false

  constructor (private readonly options: HostListPollerOptions) {}

  /** Resolves after the first read; polling continues in the background. */
  async start (): Promise<void> {
    await this.runPoll()
  }

  stop (): void {
    this.isStopped = true
    clearTimeout(this.timer)
  }

  private async runPoll (): Promise<void> {
    try {
      const entries = await this.options.hostList.read()
      this.options.onUpstreams(entries
        .filter(entry => entry.role !== 'entry')
        .map(({ id, address, role, failureDomain, state }) => ({ id, address, pool: role, failureDomain, state })))
    } catch (error) {
      if (!(error instanceof LycheetrackError)) throw error
      this.options.logger.recordWarning('failed to read the host list, keeping the last one', { code: error.code })
    }
    if (this.isStopped) return
    this.timer = setTimeout(() => { void this.runPoll() }, this.options.intervalMs)
  }
}
