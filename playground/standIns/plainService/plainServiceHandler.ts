import { findMarker } from '../server/findMarker.js'
import type { CallRunner } from '../server/callRunner.js'
import type { StandInCall } from '../server/standInCall.js'
import type { StandInHandler } from '../server/standInHandler.js'

/** Stands in for a plain service: `POST /call/<operation>`. It does not deduplicate: a call with a known id runs again. */
export class PlainServiceHandler implements StandInHandler {
  private executionCount = 0

  constructor (private readonly runner: CallRunner) {}

  handleCall (call: StandInCall): Promise<void> {
    if (call.path === '/load') return this.runner.sendReport(call)
    const operation = /^\/call\/([\w-]+)$/.exec(call.path)?.[1]
    if (operation === undefined || call.method !== 'POST') return call.sendJson(404, { error: `no end point ${call.method} ${call.path}` })
    return this.runner.runCall(call, operation, (callId, input) => {
      return { operation, callId, marker: findMarker(JSON.stringify(input) ?? ''), execution: ++this.executionCount }
    })
  }

  buildHeaders (): Readonly<Record<string, string>> {
    return this.runner.buildHeaders()
  }

  stop (): void {
    this.runner.stop()
  }
}
