import { hashText } from '../../../src/shared/hashText.js'
import { findMarker } from '../server/findMarker.js'
import type { CallRunner } from '../server/callRunner.js'
import type { StandInCall } from '../server/standInCall.js'
import type { StandInHandler } from '../server/standInHandler.js'

/** Stands in for a member of a stage pool: `POST /v1/encode`, `/v1/retrieve` and `/v1/rerank`. */
export class StagePoolHandler implements StandInHandler {
  constructor (private readonly runner: CallRunner) {}

  handleCall (call: StandInCall): Promise<void> {
    if (call.path === '/load') return this.runner.sendReport(call)
    const operation = /^\/v1\/(encode|retrieve|rerank)$/.exec(call.path)?.[1]
    if (operation === undefined || call.method !== 'POST') return call.sendJson(404, { error: `no end point ${call.method} ${call.path}` })
    return this.runner.runCall(call, operation, (callId, input) => {
      const text = JSON.stringify(input) ?? ''
      return { operation, callId, marker: findMarker(text), digest: hashText(text).toString(16).padStart(8, '0') }
    })
  }

  buildHeaders (): Readonly<Record<string, string>> {
    return this.runner.buildHeaders()
  }

  stop (): void {
    this.runner.stop()
  }
}
