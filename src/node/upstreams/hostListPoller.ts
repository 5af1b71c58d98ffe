import { LycheetrackError } from '../../shared/lycheetrackError.js'
import type { HostList } from '../../types/hostList.js'
import type { Logger } from '../../types/logger.js'
import type { Upstream } from '../../types/upstream.js'

interface HostListPollerOptions {
  readonly hostList: HostList
  readonly logger: Logger
  readonly intervalMs: number
  /** Called with all upstreams of the list after each successful read. */
  readonly onUpstreams: (upstreams: readonly Upstream[]) => void
}

/** Reads the upstreams from the platform's host list again and again; during its outages the last list stays in use. */
export class HostListPoller {
  private timer: NodeJS.Timeout | undefined
  private isStopped = false

  constructor (private readonly options: HostListPollerOptions) {}

  /** Reads the list once and goes on in the background. */
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
      this.options.logger.recordWarning('host list not read, the last one stays in use', { code: error.code })
    }
    if (this.isStopped) return
    this.timer = setTimeout(() => { void this.runPoll() }, this.options.intervalMs)
  }
}
